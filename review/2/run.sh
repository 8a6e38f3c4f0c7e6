#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves out the silence of the store.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review/unheard_departure
[ -x "$program" ] && [ -x target/programs/bambooquay ] || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout --kill-after=5 110 "$program" "$directory"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
