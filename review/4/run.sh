#!/bin/sh
# The three core machines are replaced by three new ones: the old ones get SIGTERM together, 10 s after the new ones started. Exit
# code 1: the rule CONFIG was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: the old machines stay.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
if [ ! -x target/review-2/corechange-2 ] || [ ! -x target/inference-router ]; then
	echo "the case can't run: it needs the build of deploy/system.toml and of review/build-2.sh" | tee "$here/record.txt"
	exit 2
fi
timeout -k 5 100 target/review-2/corechange-2 -case core -binary target/inference-router -record "$here/record.txt" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
code=$?
wait "$child" 2>/dev/null # after a signal: until all processes have ended
case $code in 0 | 1) exit "$code" ;; esac
exit 2
