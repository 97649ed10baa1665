#!/bin/bash
# Case 12. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0: without the disruption. KEEP=1 keeps the logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/daemon/geraniumpaddled ] || exit 2
[ -x build-review-3/gp_review3_lab ] || exit 2
NET="127.$((RANDOM % 100 + 100)).$((RANDOM % 250 + 1))"
DIR=$(mktemp -d) || exit 2
PIDS=""
LAB=""
. review/common-3/nodes.sh
trap endNodes EXIT
timeout -k 1 110 build-review-3/gp_review3_lab lost "$NET" \
  review/12/record.txt "${TROUBLE:-1}" "$DIR" &
LAB=$!
sleep 0.3
startNodes
wait "$LAB"
RESULT=$?
[ "$RESULT" -le 2 ] || RESULT=2
exit "$RESULT"
