#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/trial ./review/trial
