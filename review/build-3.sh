#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review. Run it in the root of the repository, after the build of the
# deploy file.
set -e
go build -o target/lab ./review/lab
