#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/review-stand-2 ./stand2
