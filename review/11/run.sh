#!/usr/bin/env bash
# Stops an entry host while clients wait for pipelined answers.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/kit-3 -program target/wisteriapond -record review/11/record.txt pipelined-stop
