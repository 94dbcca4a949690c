#!/usr/bin/env bash
# Builds the version in production (deploy/system.toml), by its own build command, for tests in which
# it runs beside this one:
#
#     tools/production_build.sh FOLDER     the program is FOLDER/target/saddlewing afterwards
#
# FOLDER is kept from one run to the next, and made anew when another commit is in production.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
folder=$1
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
if [[ -z $commit ]]; then
  echo "production_build.sh: deploy/system.toml names no version in production" >&2
  exit 1
fi
if [[ $(git -C "$folder" rev-parse HEAD 2>/dev/null) != "$commit" ]]; then
  rm -rf "$folder"
  git clone --quiet --no-checkout "$root" "$folder"
  git -C "$folder" checkout --quiet "$commit"
fi
cd "$folder"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$build" >build.log 2>&1 || { tail -n 20 build.log >&2; exit 1; }
echo "version in production: $commit, $(target/saddlewing --version)"
