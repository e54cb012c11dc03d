#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for program in stale_copy late_repeat withdrawn; do
    rustc -O --edition 2021 -o "bin/$program" "standins/$program.rs"
done
