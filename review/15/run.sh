#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0: without the disruption. Needs the build of the deploy file and of
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-3/case-15
[ -x "$case" ] || exit 2
timeout -k 1 118 "$case" review/15/record.txt
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
