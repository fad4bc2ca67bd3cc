#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
[ -f "$top/review/out/SilentStore.class" ] && [ -f "$top/platform/target/cuminlatch-platform.jar" ] || exit 2
cd "$top" || exit 2
exec timeout -k 5 110 java -Xmx512m -Drepository="$top" -cp "$top/review/out" SilentStore "$here/record.txt"
