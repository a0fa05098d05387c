#!/bin/sh
# Puts the entry VM and its libraries under target/deps, compiled to bytecode
# so that a restart does not compile on a machine with a fraction of a core.
set -eu
deps=target/deps
stamp=target/requirements.installed
if ! cmp -s platform/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" \
        -r platform/requirements.txt
    cp platform/requirements.txt "$stamp"
fi
for package in packages/core/src/hibiscushatch_core \
    packages/token/src/hibiscushatch_token \
    platform/src/hibiscushatch_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -r "$package" "$deps/"
done
python3 -m compileall -q "$deps" >/dev/null
