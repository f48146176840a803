#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the JDK alone; the node is built by the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
rm -rf target
mkdir -p target
javac -d target ./*.java
