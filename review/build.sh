#!/usr/bin/env bash
# Builds the program that plays the cases: the fleet's processes are the project's own, started from
# target/beechtide; clients, runners and applications are stand-ins inside this program.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review .
