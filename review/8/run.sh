#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
# TROUBLE=0 the store is up; the daemons are stopped and started in turn all the same. Takes 25 s.
cd "$(dirname "$0")/../.." || exit 2
for program in target/siskinknot target/review/harness2; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/harness2 cut-at-stop review/8
