#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/camphor-entry ] && [ -x target/review/store_copy ] || exit 2
timeout -k 2 110 target/review/store_copy review/1/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
