#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The build of the
# deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
GOTOOLCHAIN=local GOFLAGS= go build -o ../../target/reviewkit2 .
