#!/bin/sh
# Builds the cases 6 to 10 with their stand-ins, without a network, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 6 7 8 9 10; do
  if [ -d "review/$n" ]; then
    go build -tags review -o "review/bin/case$n" "./review/$n"
  fi
done
