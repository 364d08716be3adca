#!/bin/sh
# Builds the stand-ins and the programs of the cases; needs the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp "platform/target/lib/*" \
  $(find review -name '*.java' -not -path 'review/target/*')
