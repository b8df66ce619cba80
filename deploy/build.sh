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
# Copied only where it differs: a build must not pull modules from under a running day.
install_package() {
    local source=$1 target=$deps/$(basename "$1")
    diff -rq --exclude=__pycache__ "$source" "$target" >/dev/null 2>&1 && return
    rm -rf "$target"
    cp -r "$source" "$target"
    python3 -m compileall -q "$target"
}
install_package packages/savoryroute/savoryroute
install_package platform/savoryroute_platform
