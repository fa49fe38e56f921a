#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.."
exec java -Xmx2g -cp review/build LateRunAfterReturn review/3/record.txt
