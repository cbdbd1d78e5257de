#!/usr/bin/env bash
# Builds the stand-in of the review's scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -o target/review/site review/standin/site.cpp
