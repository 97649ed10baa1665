#!/usr/bin/env bash
# Runs the case whose folder is given. Exits with 1 if the rule was broken, with
# 0 if it held and with 2 if the case could not run.
case_dir="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/../.." && pwd)"
program="$root/build-review-2/gp_review_case_$(basename "$case_dir")"
if [ ! -x "$program" ] || [ ! -x "$root/target/src/daemon/geraniumpaddled" ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
cd "$root" || exit 2
timeout -k 2 118 "$program" "$root" "$case_dir/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
