#!/usr/bin/env bash
# Installs the locked dependencies and the packages into target/deps, which is on Python's path.
set -euo pipefail
if ! [ target/deps/.ready -nt requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --require-hashes \
        --target target/deps -r requirements.lock
    touch target/deps/.ready
fi
rm -rf target/deps/radishbridge
mkdir -p target/deps/radishbridge
cp -R packages/*/src/radishbridge/. platform/src/radishbridge/. target/deps/radishbridge/
# The deployed tree is read-only, so a module that is not compiled here is compiled at every start.
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps
