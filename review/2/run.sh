#!/usr/bin/env bash
# Runs the case from the repository's root; writes record.txt beside this script. TROUBLE=0 leaves out the series of changes.
cd "$(dirname "$0")/../.."
[ -x target/release/beryltray ] && [ -x target/review/case-2 ] || exit 2
exec timeout -k 5 118 target/review/case-2 review/2/record.txt
