#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. The project's own programs are built by the deploy
# file's command, into bin/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o review/bin/standin ./review/standin
