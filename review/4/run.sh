#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f review/target/classes/org/sedgeroad/review/LastMachine.class ] || exit 2
timeout 110 java -Xmx256m -Dsun.net.httpserver.nodelay=true \
  -cp "review/target/classes:platform/target/lib/*" \
  org.sedgeroad.review.LastMachine "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
