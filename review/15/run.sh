#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.."
exec java -Xmx512m -cp "platform/target/review3:platform/target/lib/*" review3.FractionalBounds review/15
