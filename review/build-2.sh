#!/usr/bin/env bash
# Builds the programs of the scripts in review/6 to review/9, with all stand-ins that they start, into
# target/review-2. The stand-ins are threads of these programs (review/standins-2); none of the
# project's own is used. Needs the packages of deploy/system.toml only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 "$source" \
    -o "target/review-2/case-$number" -pthread &
done
for job in $(jobs -p); do wait "$job"; done
