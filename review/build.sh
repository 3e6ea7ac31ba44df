#!/bin/sh
# Builds the stand-ins of all cases into review/out, with the JDK alone. The build of the deploy file comes first.
cd "$(dirname "$0")" || exit 2
mkdir -p out || exit 2
exec javac -d out *.java [0-9]*/*.java
