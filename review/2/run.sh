#!/usr/bin/env bash
# Plays case 2. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
# TROUBLE=0 it leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
for program in target/yarrowmast target/review/play; do
	if [ ! -x "$root/$program" ]; then
		echo "$program is missing: build what deploy/system.toml says, and run review/build.sh" >&2
		exit 2
	fi
done
exec "$root/target/review/play" versions "$root" "$folder"
