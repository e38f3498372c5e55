#!/bin/sh
# Builds the stand-ins that the cases start, without a network, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]; do
  CGO_ENABLED=1 go build -tags review -o "review/bin/case$(basename "$case")" "./$case"
done
