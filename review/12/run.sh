#!/usr/bin/env bash
# Stops an entry host while clients pipeline requests and read late.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/kit-3 -program target/wisteriapond -record review/12/record.txt late-readers
