#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*_case.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 "$source" -o "target/review-2/$name" -pthread &
done
for job in $(jobs -p); do wait "$job"; done
