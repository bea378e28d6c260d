#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2/, each together with its case.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p $out
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)
for name in http site; do
    "${compile[@]}" -c review/standins-2/$name.cpp -o $out/$name.o
done
for source in review/{6,7,8,9,10}/*.cpp; do
    [ -f "$source" ] || continue
    "${compile[@]}" "$source" $out/http.o $out/site.o -o "$out/$(basename "$source" .cpp)"
done
