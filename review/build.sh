#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are compiled into one program, which also starts the
# routers; it needs nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/platform/play
