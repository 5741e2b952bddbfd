#!/bin/sh
# The three core machines are replaced by three new ones: the old ones get SIGTERM together, 10 s after the new ones started. Exit
# code 1: the rule CONFIG was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: the old machines stay.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec timeout -k 5 100 target/review-2/corechange-2 -case core -binary target/inference-router -record "$here/record.txt"
