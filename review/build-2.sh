#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 and the stand-in of the store. The
# daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/common-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2 -j8 --target cases
