#!/usr/bin/env bash
# Installs the daemon, the adapter and the compiled dependencies in target/deps.
set -euo pipefail
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" \
        -r deploy/requirements.txt
    python3 -m compileall -q "$deps"
    cp deploy/requirements.txt target/requirements.txt
fi
# Copies a package only if it changed: a build must not remove modules that the daemons
# of a running day still load.
install_package() {
    local source=$1 target=$deps/$(basename "$1")
    diff -rq --exclude=__pycache__ "$source" "$target" >/dev/null 2>&1 && return
    rm -rf "$target"
    cp -r "$source" "$target"
    python3 -m compileall -q "$target"
}
install_package packages/savoryroute/savoryroute
install_package platform/savoryroute_platform
