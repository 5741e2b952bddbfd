#!/bin/sh
# A resumable stream whose worker pauses for 1.4 s while the edge machine that serves it drains. Exit code 1: the rule LOST was
# broken, 0: it held, 2: the case couldn't run. TROUBLE=0: no SIGTERM and no pause.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec timeout -k 5 100 target/review-2/silence-2 -binary target/inference-router -record "$here/record.txt"
