#!/bin/sh
# Case 10; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program=$root/review/standins-2/target/release/case-10
if [ ! -x "$program" ] || [ ! -x "$root/target/release/dewferry" ]; then
    echo "verdict 2: not built: the build of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
driver=
clean() {
    [ -z "$driver" ] || kill -9 "$driver" 2>/dev/null
    # What the driver could not end any more.
    [ ! -f "$temporary/processes" ] || while read -r id; do kill -9 "$id" 2>/dev/null; done < "$temporary/processes"
    rm -rf "$temporary"
    exit 2
}
trap clean INT TERM HUP
"$program" "$root" "$folder" "$temporary" &
driver=$!
wait "$driver"
code=$?
rm -rf "$temporary"
exit "$code"
