#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside it.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/rig-2/target/HandoverAnswer.class ] && [ -f node/target/load-balancer.jar ] || exit 2
exec java -Xmx512m -cp review/rig-2/target HandoverAnswer review/8
