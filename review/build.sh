#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/harness/*.java
