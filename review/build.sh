#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in site flood; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$name" "review/standin/$name.cpp"
done
