#!/usr/bin/env bash
# Puts the daemon, the adapter and compiled dependencies under target/deps.
set -euo pipefail
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" \
        -r deploy/requirements.txt
    python3 -m compileall -q "$deps"
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf "$deps/savoryroute" "$deps/savoryroute_platform"
cp -r packages/savoryroute/savoryroute "$deps/savoryroute"
cp -r platform/savoryroute_platform "$deps/savoryroute_platform"
python3 -m compileall -q "$deps/savoryroute" "$deps/savoryroute_platform"
