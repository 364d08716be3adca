#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f platform/target/review3/review3/FractionalBounds.class ] || exit 2
exec java -Xmx512m -cp "platform/target/review3:platform/target/lib/*" review3.FractionalBounds review/15
