#!/usr/bin/env bash
# Compiles the stand-ins and the programs of the cases into target/review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standins/*.java
