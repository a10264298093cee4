#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/stand-2/review2/*.java
