#!/bin/sh
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/trial3 ./review/trial3
