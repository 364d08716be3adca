# Sourced by the scripts in this directory: paths and the build.
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
DAEMON_CLASSPATH="$ROOT/sedgeroad-daemon/target/classes:$ROOT/sedgeroad/target/classes:$ROOT/sedgeroad-daemon/target/lib/*"
TESTING_CLASSPATH="$ROOT/sedgeroad-testing/target/classes:$ROOT/sedgeroad-testing/target/lib/*:$DAEMON_CLASSPATH"

build_if_needed() {
  if [ ! -d "$ROOT/sedgeroad-testing/target/lib" ]; then
    echo "building sedgeroad (first use)" >&2
    (cd "$ROOT" && mvn -B -ntp -q -DskipTests -Dcheckstyle.skip -Dspotless.check.skip package) >&2
  fi
}
