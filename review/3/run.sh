#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/standins/target/release/standins
for needed in "$program" "$root/target/release/dewferry"; do
    if [ ! -x "$needed" ]; then
        echo "couldn't run: no $needed; build first"
        exit 2
    fi
done
timeout -k 3 115 "$program" lag "$root" "$here/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
