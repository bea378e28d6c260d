#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compile=(c++ -std=c++20 -O1 -g -Wall -Wextra -pthread)
standins=()
for source in review/standins-3/*.cpp; do
    object=target/review-3/$(basename "$source" .cpp).o
    "${compile[@]}" -c "$source" -o "$object" &
    standins+=("$object")
done
wait
for source in review/1[1-5]/*.cpp; do
    case=$(basename "$(dirname "$source")")
    "${compile[@]}" "$source" "${standins[@]}" -o "target/review-3/case-$case" &
done
wait
for source in review/1[1-5]/*.cpp; do
    test -x "target/review-3/case-$(basename "$(dirname "$source")")"
done
