#!/usr/bin/env bash
# A server does not reach the store for 5 s; 5 s later it leaves without reporting that it is draining. Twenty hosts.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/cuminhook-entry ] || [ ! -x target/review-lab2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
export ENTRY="$PWD/target/cuminhook-entry"
exec timeout -k 5 110 target/review-lab2 removed-again "$here/record.txt"
