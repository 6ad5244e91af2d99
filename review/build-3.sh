#!/bin/sh
# Builds the stand-ins of cases 11 to 15 with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
REPOSITORY="$PWD" rustc --edition 2021 -O -o target/review-3/cases review/cases_3.rs
