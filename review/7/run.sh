#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule
# was broken, 0 if it held, 2 if it could not run. TROUBLE=0: the same without the new config.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rlb-node ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 moved review/7
