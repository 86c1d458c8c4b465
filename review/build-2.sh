#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases of the second review into review/build-2/.
# Needs nothing but the C++ compiler of the project.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p build-2
echo "*" >build-2/.gitignore
options=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${options[@]}" -c standins-2/stage.cpp -o build-2/stage.o
for source in [0-9]/*.cpp [0-9][0-9]/*.cpp; do
  [ -f "$source" ] || continue
  grep -q 'standins-2/stage.hpp' "$source" || continue
  g++ "${options[@]}" "$source" build-2/stage.o -o "build-2/case$(dirname "$source")"
done
