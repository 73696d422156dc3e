#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and up, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp target/siskindyke-0.1.0-SNAPSHOT.jar review/harness-3/*.java
