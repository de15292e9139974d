#!/bin/sh
# Builds the stand-ins of the cases of REPORT-2.md, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-2/rig ./review/rig
