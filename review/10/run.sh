#!/usr/bin/env bash
exec "$(dirname "$0")/../common-2/run-case.sh" "$(dirname "$0")"
