#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases of the second review into review/build-2/.
# Needs nothing but the C++ compiler of the project. The sources of a case are in its folder test/,
# where review/build.sh does not look.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p build-2
echo "*" >build-2/.gitignore
options=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${options[@]}" -c standins-2/stage.cpp -o build-2/stage.o
for case in 6 7 8 9 10; do
  g++ "${options[@]}" "$case"/test/*.cpp build-2/stage.o -o "build-2/case$case"
done
