#!/usr/bin/env bash
# Builds the stand-ins of the review (platform, backend, client, drivers); needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac --release 17 -d out standin/*.java
echo "review: stand-ins built"
