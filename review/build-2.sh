#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/trial2 ./review/trial2
