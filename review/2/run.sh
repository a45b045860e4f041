#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
standin=target/review/review-standin
for program in "$standin" target/release/fordrelay-controller target/release/fordrelay-gateway target/release/fordrelay-batch-store; do
    [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The stand-in starts all processes, and they end with it.
timeout -s KILL 116 "$standin" drain review/2/record.txt "$folder" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM
wait "$pid"
result=$?
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
