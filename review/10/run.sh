#!/bin/sh
# Plays the case "stale" of review/lab2. It exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/lab2 && test -x target/coltsfootdock || exit 2
exec target/lab2 -case stale -record review/10/record.txt
