#!/usr/bin/env bash
# Builds the driver of the cases, which contains all stand-ins that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/driver
