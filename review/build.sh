#!/bin/sh
# Builds the stand-ins of the review's cases; nothing but the JDK is needed.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -nowarn -d build standins/*.java
