#!/bin/sh
# Plays this case; TROUBLE=0 leaves the disruption out. 1: the rule was broken, 0: it held, 2: it could not run.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] || exit 2
exec target/review-2/rig condemned review/8/record.txt
