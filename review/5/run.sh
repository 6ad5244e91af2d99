#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review/standin ] && [ -x target/release/tanageryoke ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
pid=
# The machines that the stand-in starts end with it.
trap '[ -z "$pid" ] || kill "$pid" 2>/dev/null; rm -rf "$TMPDIR"; exit 2' INT TERM HUP
target/review/standin peers "$here/record.txt" &
pid=$!
wait "$pid"
code=$?
rm -rf "$TMPDIR"
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
