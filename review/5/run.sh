#!/bin/sh
# Plays the case. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption; KEEP=1 keeps the logs of the programs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/teaselpaddle-region ] || {
	echo "run the build of deploy/system.toml and review/build.sh first"
	exit 2
}
exec target/review-standin gang-blocks review/5
