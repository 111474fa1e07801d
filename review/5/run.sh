#!/usr/bin/env bash
# Runs the case; build it first with review/build.sh. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review/case-5 ] && [ -x target/mangonotch ] || exit 2
exec build-review/case-5 review/5
