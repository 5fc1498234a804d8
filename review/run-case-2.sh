#!/usr/bin/env bash
# Runs the case in the folder given as the first argument. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
set -u
folder=$(cd "$1" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
if [ ! -x target/release/dahliaspoke ] || [ ! -x "target/review-2/case-$number" ]; then
    echo "not built: run the build line of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
"target/review-2/case-$number" "$folder"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
