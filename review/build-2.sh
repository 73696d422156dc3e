#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp target/siskindyke-0.1.0-SNAPSHOT.jar -d target/review-2 \
    review/harness-2/*.java $(find review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
