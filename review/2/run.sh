#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/siskinknot ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-harness late-move review/2
