#!/usr/bin/env bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x "$root/target/yarrowmast" ] && [ -x "$root/target/review-2/drive" ] || exit 2
"$root/target/review-2/drive" --case versions --router "$root/target/yarrowmast" --record "$here/record.txt" "--trouble=$trouble"
code=$?
[ $code -le 1 ] || code=2
exit $code
