#!/usr/bin/env bash
# Runs the case; build it first with review/build-2.sh. Exit: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. TROUBLE=0 leaves the disruption out. What was sent, answered and run stands in
# review/6/record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] && [ -x target/mangonotch ] || exit 2
exec target/review-2/case-6 review/6/record.txt
