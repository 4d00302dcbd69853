#!/bin/sh
# Builds the stand-ins and checks of the cases 6 and up, after the build of the deploy file. Needs the JDK, and what
# that build has put into the local Maven repository.
set -e
cd "$(dirname "$0")/src-2"
root=../..
repository=$(sed -n 's:.*<localRepository>\(.*\)</localRepository>.*:\1:p' "$HOME/.m2/settings.xml" 2>/dev/null | head -1)
codec=$(find "${repository:-$HOME/.m2/repository}/commons-codec/commons-codec/1.18.0" -name 'commons-codec-1.18.0.jar' | head -1)
mkdir -p target
[ -z "$codec" ] || cp "$codec" target/commons-codec.jar
javac -nowarn -cp "$root/client/target/classes:$root/cli/target/weldhitch.jar" -d target *.java
