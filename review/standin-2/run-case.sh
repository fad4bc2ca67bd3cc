#!/bin/sh
# Runs a case: run-case.sh CLASS FOLDER. Exits with 2 if something that it needs is not built.
cd "$(dirname "$0")/../.." || exit 2
[ -f "build/review-2/$1.class" ] && [ -f platform/target/cuminlatch-platform.jar ] || exit 2
exec java --add-modules jdk.incubator.foreign --add-opens java.base/sun.nio.ch=ALL-UNNAMED \
  --enable-native-access=ALL-UNNAMED -cp build/review-2 "$1" "$2/record.txt"
