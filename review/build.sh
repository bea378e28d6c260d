#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/; needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
    g++ -std=c++20 -O1 -pthread review/standins/*.cpp "$source" -o "target/review/$(basename "$source" .cpp)" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=2
done
exit "$status"
