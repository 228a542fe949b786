#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10; the build of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/apricotmill-platform.jar review/standins-2/*.java
