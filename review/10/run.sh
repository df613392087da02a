#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd)
REPOSITORY=$(cd "$CASE_FOLDER/../.." && pwd)
CASE_TEMP=$(mktemp -d)
trap 'rm -rf "$CASE_TEMP"' EXIT
export CASE_FOLDER REPOSITORY CASE_TEMP
program="$REPOSITORY/target/review-2/left_server_returns"
if [ ! -x "$program" ] || [ ! -x "$REPOSITORY/target/siskinstage-platform" ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
timeout --kill-after=2 115 "$program"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
