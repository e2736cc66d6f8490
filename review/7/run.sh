#!/bin/sh
# Plays the case and writes record.txt beside this script: what was sent, answered and run.
# TROUBLE=0 plays the same without the disruption, and has to pass.
# Exit code: 0 the rule held, 1 the rule was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hazeltillerd ] && [ -x target/review-2/stand ] || exit 2
TROUBLE="${TROUBLE:-1}" target/review-2/stand crash review/7
code=$?
[ $code -le 2 ] || code=2
exit $code
