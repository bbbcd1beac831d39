#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh; TROUBLE=0 leaves out the disruption. Exits with 1
# if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/review/standin ] && [ -x target/cactusroute ] || exit 2
exec target/review/standin resumedFailure review/1/record.txt
