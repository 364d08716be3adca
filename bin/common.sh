# Sourced by the scripts in this directory: paths and the build.
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
# Compiled classes come first: the jars in lib may be those of an earlier build.
DAEMON_CLASSPATH="$ROOT/sedgeroad-daemon/target/classes:$ROOT/sedgeroad/target/classes:$ROOT/sedgeroad-daemon/target/lib/*"
TESTING_CLASSPATH="$ROOT/sedgeroad-testing/target/classes:$DAEMON_CLASSPATH:$ROOT/sedgeroad-testing/target/lib/*"

build_if_needed() {
  local stamp="$ROOT/target/built"
  local sources=("$ROOT"/pom.xml "$ROOT"/sedgeroad*/pom.xml "$ROOT"/sedgeroad*/src/main)
  sources+=("$ROOT"/platform/pom.xml "$ROOT"/platform/src/main)
  if [ ! -f "$stamp" ] || [ -n "$(find "${sources[@]}" -newer "$stamp" -print -quit)" ]; then
    echo "building sedgeroad" >&2
    (cd "$ROOT" && mvn -B -ntp -q -Dmaven.test.skip=true -Dcheckstyle.skip -Dspotless.check.skip package) >&2
    mkdir -p "$ROOT/target"
    touch "$stamp"
  fi
}
