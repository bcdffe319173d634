#!/usr/bin/env bash
# Lets a crowd of clients send the bodies of their requests slowly.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/kit-3 -program target/wisteriapond -record review/12/record.txt slow-bodies
