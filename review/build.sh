#!/bin/bash
# Builds every stand-in that a script starts; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin ./review/standin
