#!/bin/bash
# Builds the stand-ins and the cases of review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/standins-3/*.java
