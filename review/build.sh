#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p build
g++ -std=c++20 -O2 -Wall -Wextra -pthread -c standins/standins.cpp -o build/standins.o
for source in [0-9]/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" build/standins.o -o "build/case$(dirname "$source")"
done
