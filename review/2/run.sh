#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
timeout 110 java -cp review/target review.BrokenFile "$here"
case $? in
    20) exit 0 ;;
    21) exit 1 ;;
    *) exit 2 ;;
esac
