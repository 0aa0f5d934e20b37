#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -f target/daemon/daemon-0.1.0.jar ] || exit 2
exec java -Xmx256m -cp target/review MovedStream review/5
