#!/bin/sh
# Builds the stand-ins and the programs of this review. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
classes=platform/target/review3
rm -rf "$classes"
mkdir -p "$classes"
javac -nowarn -d "$classes" -cp "platform/target/lib/*" review/standin3/*.java
