#!/usr/bin/env bash
# Regenerates src/codec/generated from the .proto files. The generated code is
# committed, so that a build does not need protoc.
set -euo pipefail
cd "$(dirname "$0")"
out=../src/codec/generated
mkdir -p "$out"
protoc -I. --cpp_out="$out" records.proto snapshot.proto peer.proto platform.proto api.proto work.proto
protoc -I. --grpc_out="$out" --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
