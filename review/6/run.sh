#!/bin/bash
# Writes record.txt beside it. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../../doorman/target/barleyspur.jar ] && [ -f ../rig2/target/WithdrawnRequests.class ] || { echo "not built: run the build of the deploy file and review/build-2.sh"; exit 2; }
exec java -cp ../rig2/target WithdrawnRequests ../.. record.txt
