#!/bin/sh
# Runs one case: run-case.sh NUMBER. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/.." && pwd)
CASE="$here/$1"
program="$here/bin/case$1"
export ROOT CASE
[ -x "$program" ] && [ -x "$ROOT/target/release/dahliaspoke" ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
trap 'rm -rf "$WORK"' EXIT
timeout -k 2 115 "$program"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
