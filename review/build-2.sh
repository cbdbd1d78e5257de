#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into build-review-2/bin.
# Run it from the project's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2 -j8 --target standin-estate duty-gate wire-tap sync-tap slow-estate
