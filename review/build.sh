#!/bin/sh
# Builds the stand-ins of the scripts. It needs no network: there are no dependencies.
set -eu
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOWORK=off go build -o bin/stand ./stand
