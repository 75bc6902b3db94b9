#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/ ./review/tool-2
