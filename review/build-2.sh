#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2, with the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
javac --add-modules jdk.incubator.foreign -Xlint:-options -nowarn -d build/review-2 review/standin-2/*.java
