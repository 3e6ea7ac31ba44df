#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run goes to record.txt.
cd "$(dirname "$0")" || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
[ -f ../out/FloodCase.class ] || { echo "could not run: review/build.sh has not been run"; exit 2; }
[ -f ../../doorman/target/barleyspur.jar ] || { echo "could not run: the program is not built"; exit 2; }
java -Xmx768m -cp ../out FloodCase ../.. record.txt &
stand_ins=$!
trap 'kill $stand_ins 2>/dev/null; wait $stand_ins; exit 2' INT TERM
wait $stand_ins
# A JVM that does not start exits with 1, so the verdict comes as 10 or 11.
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
