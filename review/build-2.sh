#!/bin/sh
# Builds the stand-ins of this review. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
classes=platform/target/review2
rm -rf "$classes"
mkdir -p "$classes"
javac -nowarn -d "$classes" -cp "platform/target/lib/*" review/standin2/*.java
