#!/usr/bin/env bash
# Builds the programs of the cases and the stand-in of the store that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -G Ninja
cmake --build build-review
cmake --build build-review --target gp_standin_store
