#!/bin/sh
# Puts the kit's files that a site file must have beside it here, from the folder given (the kit's `sites`). Git
# ignores them.
#   deploy/sites/lay.sh FOLDER
set -eu
from=${1:?the kit folder that holds real.json, wire.json and unlock.txt}
for file in real.json wire.json unlock.txt; do
    cp -f "$from/$file" "$(dirname "$0")/$file"
done
