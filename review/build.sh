#!/bin/sh
# Builds the stand-ins and the cases into review/target. Needs the build of the deploy file, and nothing else.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac --release 17 -encoding UTF-8 -d review/target \
    -cp client/target/weldhitch-client-0.1.0.jar:cli/target/weldhitch.jar:bench/target/weldhitch-bench.jar \
    review/src/review/*.java
