#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
# KEEP_LOGS=1 keeps the logs of the processes.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build line of deploy/system.toml" >&2
    exit 2
fi
python3 review/3/case.py
status=$?
case $status in
    0) exit 0 ;;
    1) grep -q ': broken' review/3/record.txt && exit 1 || exit 2 ;;
    *) exit 2 ;;
esac
