#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which are Python files and need the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
bash deploy/build.sh
PYTHONPATH=target/deps:review/lib PYTHONDONTWRITEBYTECODE=1 python3 -c 'import poison, world'
