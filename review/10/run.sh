#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
# The processes of a case end with it.
target/review-2/cases 10 review/10/record.txt &
case=$!
trap 'kill "$case"; exit 2' INT TERM HUP
wait "$case"
