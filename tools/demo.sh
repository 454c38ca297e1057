#!/usr/bin/env bash
# Starts a small site, sends lookups and orders through real processes, applies one configuration
# change and one key withdrawal, stops everything and prints one line with the result.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
. tools/site.sh
trap stop_site EXIT

echo "demo: starting four instances, three backend servers and the store"
start_site
sleep 0.3
site_config >"$LOGS/config.json"
ctl apply "$LOGS/config.json" || true
wait_ready e1 e2 e3 w1 || exit 1
ctl status

echo "demo: sending lookups and orders while the configuration changes"
"$BUILD/tests/load" --entries "$ENTRIES" --key demo-key-of-grocer --service stock \
  --path /stock/roll-57 --order-path /reorders --rate 300 --seconds 6 --orders-percent 20 \
  >"$LOGS/load.txt" &
LOAD=$!
PIDS+=($LOAD)
sleep 1.5
ctl drain stock-2
changed=$?
sleep 1
before=$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer demo-spare-key' \
  "http://${ENTRY[e3]}/stock/x")
ctl withdraw-key grocer spare
withdrawn=$?
after=$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer demo-spare-key' \
  "http://${ENTRY[e3]}/stock/x")
echo "demo: the spare key got status $before before and $after after its withdrawal"
wait $LOAD
cat "$LOGS/load.txt"

twice=$(run_twice)
seen=$(ran | grep -c KEY-SEEN)
result=$(head -1 "$LOGS/load.txt")
figures=$(echo "$result" | sed -E 's/, cut.*//')
cut=$(echo "$result" | sed -E 's/.*cut ([0-9]+)/\1/')

echo "demo: stopping the instances as planned"
for name in e1 e2 e3 w1; do kill -TERM "${PID[$name]}"; done
stopped=0
for name in e1 e2 e3 w1; do wait "${PID[$name]}" || stopped=1; done

verdict=ok
echo "$figures" | grep -Eq '^lookups ([0-9]+)/\1, orders ([0-9]+)/\2$' || verdict=failed
[ "$twice" = 0 ] && [ "$cut" = 0 ] && [ "$seen" = 0 ] && [ "$changed" = 0 ] &&
  [ "$withdrawn" = 0 ] && [ "$before" = 200 ] && [ "$after" = 401 ] && [ "$stopped" = 0 ] ||
  verdict=failed
stop_site
echo "demo: $figures, run twice $twice, cut $cut, $verdict"
[ "$verdict" = ok ]
