#!/bin/sh
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# Build first: the command in deploy/system.toml, then review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/release/comfreywayd ] && [ -x target/review-3/kit ] || exit 2
exec target/review-3/kit lost-record "$folder"
