#!/bin/sh
# Builds the stand-ins of the cases from 11 on into target/review-3. They need a C++20 compiler and
# nlohmann-json3-dev, which the build of the deploy file needs too.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cc; do
    program=target/review-3/$(basename "$source" .cc)
    "${CXX:-c++}" -std=c++20 -O2 -g -Wall -Wextra -pthread "$source" -o "$program"
done
