#!/usr/bin/env bash
# Builds the stand-ins of the scripts; the build of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/apricotmill-platform.jar review/standins/review/*.java
