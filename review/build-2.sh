#!/bin/sh
# Builds the stand-ins of the second review into target/review-2, with the compiler alone and without a network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -Xlint:all -d target/review-2 review/src-2/*.java
