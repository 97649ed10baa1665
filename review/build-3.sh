#!/bin/bash
# Builds what the scripts of the third review start besides the daemon: the
# stand-ins of review/common-3/, into build-review-3/.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-3
g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers \
  -pthread review/common-3/lab.cc \
  -o build-review-3/gp_review3_lab
