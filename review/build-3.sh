#!/bin/sh
# Builds the stand-in that the scripts of the third review start.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review-3
go build -o ../target/review-3/ ./stand3
