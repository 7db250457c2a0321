#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/lab ./review/lab
