#!/bin/sh
# Builds the stand-ins of the review's scripts. Needs only a JDK; the build of the deploy file must have run before.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/stand/*.java
