#!/usr/bin/env bash
# Plays the case once: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/scenario-10
[ -x "$program" ] && [ -x target/apps/amaranthwindd/amaranthwindd ] || exit 2
exec "$program" review/10/record.txt
