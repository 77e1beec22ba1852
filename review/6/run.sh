#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program="$root/target/review-2/review-2"
[ -x "$program" ] || exit 2
exec "$program" slow-upload "$root" "$folder"
