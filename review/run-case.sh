#!/usr/bin/env bash
# run-case.sh N PROGRAM: runs a built stand-in for the case in review/N and writes review/N/record.txt.
set -uo pipefail
cd "$(dirname "$0")/.."
if [[ ! -x target/review/$2 || ! -x target/bin/carobhall-node ]]; then
    echo "build the deploy file's target and review/build.sh first" >&2
    exit 2
fi
RECORD="review/$1/record.txt" timeout --signal=KILL 118 "target/review/$2"
status=$?
[[ $status -le 2 ]] || status=2
exit "$status"
