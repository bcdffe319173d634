#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. The build of the deploy
# file comes first: it builds the entry host.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for driver in review/*/driver; do
  go build -buildvcs=false -o "target/review/case-$(basename "$(dirname "$driver")")" "./$driver"
done
