#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 with the JDK alone. They need no library and nothing of the project.
set -eu
cd "$(dirname "$0")/rig2"
rm -rf target
javac -Xlint:all -encoding UTF-8 -d target src/*.java
