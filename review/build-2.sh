#!/bin/sh
# Builds the stand-ins and checks of the cases 6 and up into review/src-2/target. Needs the build of the deploy file, and
# nothing else.
set -e
cd "$(dirname "$0")/.."
rm -rf review/src-2/target
mkdir -p review/src-2/target
javac --release 17 -encoding UTF-8 -nowarn -d review/src-2/target \
    -cp client/target/classes:cli/target/weldhitch.jar:bench/target/weldhitch-bench.jar review/src-2/*.java
