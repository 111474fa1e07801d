#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs under review/ into build-review/. They need the packages
# of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$source" -o "build-review/case-$number" -lpthread &
done
for job in $(jobs -p); do wait "$job"; done
