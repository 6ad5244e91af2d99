#!/bin/sh
# Builds the stand-ins and the cases of the second review, from the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/cases_2.rs
