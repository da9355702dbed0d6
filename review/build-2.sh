#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need the
# packages of the deploy file alone.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
for name in $(cd review/standins-2 && ls *.cpp | grep -v '^deployment\.cpp$'); do
  g++ -std=c++20 -O1 -Wall -Wno-mismatched-new-delete -o "$out/${name%.cpp}" \
    "review/standins-2/$name" review/standins-2/deployment.cpp \
    -lboost_json -pthread
done
