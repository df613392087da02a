#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 case.py &
case=$!
trap 'kill -TERM "$case" 2>/dev/null' TERM INT
wait "$case"
code=$?
while kill -0 "$case" 2>/dev/null; do
  wait "$case"
  code=$?
done
# An interpreter that fails also ends with 1.
if [ "$code" -eq 0 ] || { [ "$code" -eq 1 ] &&
  tail -n 1 record.txt 2>/dev/null | grep -q "the rule was broken"; }; then
  exit "$code"
fi
exit 2
