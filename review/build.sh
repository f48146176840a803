#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. Needs a JDK 17 only.
set -e
cd "$(dirname "$0")"
rm -rf rig/target
mkdir -p rig/target
javac -d rig/target rig/*.java
