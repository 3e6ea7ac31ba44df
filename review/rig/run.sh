#!/bin/sh
# Runs the class $1 as the case in the folder $2. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
folder=$(cd "$2" && pwd) || exit 2
review=$(dirname "$folder")
[ -f "$review/out/$1.class" ] || { echo "could not run: review/build.sh has not been run"; exit 2; }
[ -f "$review/../doorman/target/barleyspur.jar" ] || { echo "could not run: the program is not built"; exit 2; }
java -Xmx768m -cp "$review/out" "$1" "$(dirname "$review")" "$folder" &
stand_ins=$!
trap 'kill $stand_ins 2>/dev/null; wait $stand_ins; exit 2' INT TERM
wait $stand_ins
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
