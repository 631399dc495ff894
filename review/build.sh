#!/bin/sh
# Builds the stand-ins and the cases. Needs the JDK alone.
cd "$(dirname "$0")" || exit 2
mkdir -p build && javac -nowarn -d build src/*.java
