#!/bin/sh
# Runs case 13; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../target/review-3/cases ]; then
    echo "run review/build-3.sh first" >&2
    exit 2
fi
exec ../../target/review-3/cases 13 .
