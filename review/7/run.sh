#!/usr/bin/env bash
# Plays the scenario of this case; see claim.txt. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
program=$root/target/review-2/deadly-part-case
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
"$program" long-ids "$root/target/programs" "$directory" "$PWD/record.txt"
