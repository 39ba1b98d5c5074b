#!/usr/bin/env bash
# Runs the case from the repository's root; writes record.txt beside this script. TROUBLE=0 leaves out the late order and the cut.
cd "$(dirname "$0")/../.."
[ -x target/release/beryltray ] && [ -x target/review/case-1 ] || exit 2
exec timeout -k 5 118 target/review/case-1 review/1/record.txt
