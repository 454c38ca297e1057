#!/usr/bin/env bash
# Tests real processes: their connections, malformed input and failures. Prints "ok NAME" or
# "FAILED NAME" for each check.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
BASE=8
TICKET_TTL_MS=3000
REQUEST_TIMEOUT_MS=2000
. tools/site.sh
trap stop_site EXIT
failed=0
KEY='Authorization: Bearer demo-key-of-grocer'

verdict() { # NAME CONDITION-STATUS [TEXT]
  if [ "$2" = 0 ]; then
    echo "ok process-$1"
  else
    echo "FAILED process-$1"
    echo "  ${3:-}"
    failed=1
  fi
}

expect() { # NAME WANTED GOT
  [ "$2" = "$3" ]
  verdict "$1" $? "wanted '$2', got '$3'"
}

result_of() { python3 -c 'import json,sys; print(json.load(sys.stdin).get("name","ok"))' 2>/dev/null || echo ok; }
ask() { # INSTANCE TARGET [CURL-ARGUMENTS...]: prints the name of the result
  local name=$1 target=$2
  shift 2
  curl -s -m 8 "$@" "http://${ENTRY[$name]}$target" | result_of
}
raw() { # INSTANCE TEXT [TIMEOUT-S [CLOSE-DELAY-S]]: sends raw bytes and prints the reply
  printf "$2" | timeout "${3:-3}" nc -q "${4:-1}" "${ENTRY[$1]%:*}" "${ENTRY[$1]#*:}"
}
ticket_of() { # INSTANCE [KEY]
  curl -s -H "${2:-$KEY}" "http://${ENTRY[$1]}/v1/lookup?service=reorders&tickets=1" |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["tickets"][0])'
}
order() { # INSTANCE TICKET BODY
  curl -s -m 8 -X POST -H "$KEY" -H "Idempotency-Key: $2" -d "$3" "http://${ENTRY[$1]}/reorders" | result_of
}
# Repeats an order while no backend server is available: placement skips a server for a short time
# after a request to it was abandoned. An order that did not run is safe to repeat.
order_until_sent() { # INSTANCE TICKET BODY
  local i result
  for i in $(seq 30); do
    result=$(order "$1" "$2" "$3")
    [ "$result" = no-backend-server ] || break
    sleep 0.2
  done
  echo "$result"
}
fault() { curl -s -X PUT "http://127.0.0.1:${BASE}$1/fault/$2" >/dev/null; } # PORT MODE
store_fault() { curl -s -X PUT "http://$STORE/fault/$1" >/dev/null; }
revision_of() {
  curl -s "http://${ADMIN[$1]}/state" | python3 -c 'import json,sys; print(json.load(sys.stdin)["revision"])'
}
await() { # SECONDS COMMAND...: repeats the command until it succeeds or the time is over
  local tries=$(($1 * 10)) i
  shift
  for i in $(seq "$tries"); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  return 1
}
at_revision() { [ "$(revision_of "$1")" = "$2" ]; }

start_site
sleep 0.3
site_config >"$LOGS/config.json"
ctl apply "$LOGS/config.json" >"$LOGS/apply.txt"
wait_ready e1 e2 e3 w1 || { echo "FAILED process-start"; exit 1; }
echo "ok process-start"

# Malformed input: each case returns its result code and the instance keeps serving.
expect wrong-key key-unknown "$(ask e1 /stock/x -H 'Authorization: Bearer nonsense')"
expect no-key key-missing "$(ask e1 /stock/x)"
expect open-route ok "$(ask e1 /opening-hours)"
expect unknown-route unknown-route "$(ask e1 /nothing -H "$KEY")"
expect wrong-method method-not-allowed "$(ask e1 /reorders -H "$KEY")"
expect no-ticket ticket-missing "$(ask e1 /reorders -X POST -H "$KEY" -d x)"
expect bad-ticket ticket-invalid "$(order e1 nonsense x)"
expect foreign-ticket ticket-invalid "$(order e1 "$(ticket_of e1 'Authorization: Bearer demo-key-of-stall')" x)"
expect ticket-from-nowhere outcome-unknown "$(order e1 'v1~127.9.9.9:1~1~1~grocer~99~00' x)"
head -c 1100000 /dev/zero >"$LOGS/large"
expect large-body body-too-large "$(ask e1 /stock/x -X POST -H "$KEY" --data-binary "@$LOGS/large" -H 'Expect:')"
expect large-head head-too-large "$(ask e1 /stock/x -H "$KEY" -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' x)")"
raw e1 'nonsense\r\n\r\n' | grep -q malformed-request
verdict malformed $?
raw e1 'POST /stock/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello' | grep -q conflicting-length
verdict conflicting-lengths $?
raw e1 'POST /stock/x HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhello' 3 0 | grep -q body-incomplete
verdict body-stops-midway $?
(printf 'GET /stock/x HTTP/1.1\r\nHost:'; sleep 4) |
  timeout 6 nc -q 1 "${ENTRY[e1]%:*}" "${ENTRY[e1]#*:}" | grep -q request-timeout
verdict slow-sender $?
count=$(raw e1 "GET /stock/1 HTTP/1.1\r\nHost: x\r\n$KEY\r\n\r\nGET /stock/2 HTTP/1.1\r\nHost: x\r\n$KEY\r\n\r\n" | grep -c 'answer to')
expect pipelined 2 "$count"
expect alive-after-bad-input ok "$(ask e1 /stock/x -H "$KEY")"

# Orders: repeats, late and crossed answers, a killed issuer; no order runs twice.
ticket=$(ticket_of e1)
expect order ok "$(order e1 "$ticket" one)"
expect order-repeat-elsewhere ok "$(order e3 "$ticket" one)"
expect order-other-body ticket-body-differs "$(order w1 "$ticket" two)"
fault 303 late
ticket=$(ticket_of e1)
expect order-late outcome-unknown "$(order e1 "$ticket" three)"
fault 303 none
expect order-late-repeat outcome-unknown "$(order e2 "$ticket" three)"
fault 303 crossed
expect order-crossed outcome-unknown "$(order_until_sent e1 "$(ticket_of e1)" four)"
fault 303 none
fault 303 shed
expect order-shed-not-run 1 "$(order e1 "$(ticket_of e1)" five | grep -cE 'shed|no-backend-server')"
fault 303 none
sleep 5.5 # until the slots of the abandoned requests are free again
ticket=$(ticket_of e2)
expect order-before-kill ok "$(order e2 "$ticket" six)"
kill -KILL "${PID[e2]}"
sleep 0.3
expect order-issuer-killed outcome-unknown "$(order e1 "$ticket" six)"
start_instance e2
await 8 at_revision e2 1
verdict replaced-instance-gets-configuration $?
expect order-new-incarnation outcome-unknown "$(order e2 "$ticket" six)"
expect ran-twice 0 "$(run_twice)"

# Store faults: outage, key withdrawal, replaced instance, older state, lost write reply, races.
store_fault mark
ctl withdraw-key grocer spare >"$LOGS/withdraw.txt"
verdict withdrawal-in-force-everywhere $?
expect withdrawn-key key-unknown "$(ask e3 /stock/x -H 'Authorization: Bearer demo-spare-key')"
store_fault down
kill -KILL "${PID[e3]}"
sleep 0.2
start_instance e3
await 8 at_revision e3 2
verdict replaced-during-outage $?
expect withdrawn-key-after-replacement key-unknown "$(ask e3 /stock/x -H 'Authorization: Bearer demo-spare-key')"
ctl drain stock-2 >"$LOGS/drain.txt" 2>&1
[ $? != 0 ]
verdict change-during-outage-is-refused $?
store_fault older
store_fault none
await 8 sh -c "curl -s http://$STORE/v1/kv/vanillaloft/config?raw | grep -q '\"revision\": 2'"
verdict older-store-is-repaired $?
expect no-reversion 2 "$(revision_of e1)"
store_fault lose
ctl drain stock-2 >"$LOGS/lost.txt" 2>&1 &
lost=$!
sleep 2.6
store_fault none
wait $lost
grep -q 'reading back' "$LOGS/lost.txt" && grep -q accepted "$LOGS/lost.txt"
verdict lost-reply-is-read-back $? "$(cat "$LOGS/lost.txt")"
for i in 1 2 3 4; do ctl undrain stock-2 >"$LOGS/race$i.txt" 2>&1 & RACE[$i]=$!; done
won=0
for i in 1 2 3 4; do wait "${RACE[$i]}" && won=$((won + 1)); done
highest=$(revision_of e1)
expect race-each-win-is-a-revision "$((3 + won))" "$highest"

# The remaining commands of docs/OPERATIONS.md.
ctl issue-key grocer late demo-key-late >"$LOGS/issue.txt"
verdict issued-key-in-force $?
expect issued-key ok "$(ask e2 /stock/x -H 'Authorization: Bearer demo-key-late')"
ctl shift stock east-1 east-2 51 >"$LOGS/shift.txt" 2>&1
expect shift-above-cap-is-refused 1 $?
ctl shift stock east-1 east-2 20 >"$LOGS/shift.txt" 2>&1
verdict shift $?
before=$(revision_of e1)
ctl rollback "$((before - 1))" >"$LOGS/rollback.txt" 2>&1
verdict rollback-is-a-new-revision $?
expect rollback-revision "$((before + 1))" "$(revision_of e1)"
ctl diff "$LOGS/config.json" | grep -q '"path":"/organisations/0/keys/1/id'
verdict diff-shows-the-issued-key $?
ctl history | grep -q "$((before + 1)) .* current"
verdict history $?
ctl state "${ADMIN[e1]}" | grep -q held_per_s
verdict state $?
ctl --output json status | python3 -c 'import json,sys; sys.exit(0 if len(json.load(sys.stdin)) == 4 else 1)'
verdict status-json $?
"$BUILD/src/vanillaloft" check tests/scenarios/steady.scn 2>"$LOGS/check.txt"
expect check-refuses 1 $?

# A runbook continues after its runner is killed; it can be paused, and an abort undoes its steps.
wait_ready e1 e2 e3 w1
run_says() { ctl runs | grep -q "$1"; }
ctl run maintain-stock-1 >"$LOGS/run.txt" 2>&1
verdict runbook-starts $? "$(cat "$LOGS/run.txt")"
ctl run maintain-stock-1 >"$LOGS/run2.txt" 2>&1
expect second-run-is-refused 1 $?
await 15 run_says 'drained stock-1'
runner=$(curl -s "http://$STORE/v1/kv/vanillaloft/run?raw" | python3 -c 'import json,sys; print(json.load(sys.stdin)["runner"])')
for name in e1 e2 e3 w1; do [ "${PEER[$name]}" = "$runner" ] && kill -KILL "${PID[$name]}" && killed=$name; done
await 40 run_says 'done'
verdict runbook-survives-its-runner $? "$(ctl runs)"
ctl show | tr -d ' \n' | grep -q '"drained":\[\]'
verdict runbook-undrained $?
start_instance "$killed"
wait_ready "$killed"
ctl run maintain-stock-1 >/dev/null
await 15 run_says 'drained stock-1'
ctl pause >"$LOGS/pause.txt"
await 5 run_says paused
verdict runbook-pauses $? "$(ctl runs)"
ctl abort >"$LOGS/abort.txt"
await 15 run_says 'aborted: the steering'
verdict runbook-aborts $? "$(ctl runs)"
ctl show | tr -d ' \n' | grep -q '"drained":\[\]'
verdict abort-undoes $?

# While an instance is stopped by SIGSTOP, other instances serve its callers; after SIGCONT it serves
# again. No order runs twice.
wait_ready e1 e2 e3 w1
kill -STOP "${PID[e1]}"
sleep 2.5
expect frozen-others-serve ok "$(ask e2 /stock/x -H "$KEY")"
kill -CONT "${PID[e1]}"
await 8 sh -c "curl -s -m 2 -H '$KEY' http://${ENTRY[e1]}/stock/x | grep -q answer"
verdict woken-serves-again $?

# While nothing reads the log of an instance, it serves, counts the lines that it drops, and stops in time.
declare -A UNREAD=([entry]=127.0.0.1:${BASE}021 [admin]=127.0.0.1:${BASE}221)
mkfifo "$LOGS/unread"
sleep 300 <>"$LOGS/unread" & # keeps the pipe open
PIDS+=($!)
"$BUILD/src/vanillaloftd" --data-centre east-1 --listen "${UNREAD[entry]}" --peer-listen "127.0.0.1:${BASE}121" \
  --admin-listen "${UNREAD[admin]}" --store "$STORE" --seeds "${PEER[e1]}@east-1" \
  --ticket-ttl-ms "$TICKET_TTL_MS" --stop-timeout-ms 20000 \
  2>"$LOGS/unread" &
unread=$!
PIDS+=($unread)
unread_answers() { curl -s -m 2 -H "$KEY" "http://${UNREAD[entry]}/stock/x" | grep -q answer; }
await 20 unread_answers
"$BUILD/tests/load" --entries "${UNREAD[entry]}" --key demo-key-of-grocer --service stock --path /stock/y \
  --order-path /reorders --rate 700 --seconds 9 --orders-percent 0 >"$LOGS/unread.txt"
await 5 unread_answers
verdict serves-while-its-log-is-not-read $? "$(cat "$LOGS/unread.txt")"
dropped() { curl -s "http://${UNREAD[admin]}/metrics" | grep -qE '^vanillaloft_log_lines_dropped [1-9]'; }
await 5 dropped
verdict dropped-lines-are-counted $? \
  "$(curl -s -m 2 "http://${UNREAD[admin]}/metrics" | grep -E '^vanillaloft_(requests_total|log_lines_dropped)')"
kill -TERM $unread
(sleep 15 && kill -KILL $unread) & # after its accept period of 6.5 s
late=$!
wait $unread
expect stops-while-its-log-is-not-read 0 $?
kill $late 2>/dev/null

# A process that is told to stop in the first moments of its start stops as planned.
ended=""
for i in 1 2 3 4 5; do
  "$BUILD/src/vanillaloftd" --data-centre east-1 --listen "127.0.0.1:${BASE}01$i" --peer-listen "127.0.0.1:${BASE}11$i" \
    --admin-listen "127.0.0.1:${BASE}21$i" --store "$STORE" --stop-timeout-ms 0 >>"$LOGS/early$i.log" 2>&1 &
  early=$!
  PIDS+=($early)
  for _ in $(seq 5000); do # until main has begun: it ignores SIGPIPE
    grep -q 'SigIgn:.*1[0-9a-f][0-9a-f][0-9a-f]$' "/proc/$early/status" && break
  done
  kill -HUP $early
  kill -TERM $early
  wait $early
  ended+="$? "
done
expect stop-while-starting "0 0 0 0 0 " "$ended"

# Planned stops of one instance after the other under load: no request is cut off, no order runs twice.
wait_ready e1 e2 e3 w1
"$BUILD/tests/load" --entries "$ENTRIES" --key demo-key-of-grocer --service stock --path /stock/y \
  --order-path /reorders --rate 150 --seconds 26 --orders-percent 10 >"$LOGS/load.txt" &
load=$!
for name in e1 e2 e3; do
  sleep 1
  kill -TERM "${PID[$name]}"
  wait "${PID[$name]}"
  start_instance "$name"
  wait_ready "$name"
done
wait $load
grep -q 'cut 0$' "$LOGS/load.txt"
verdict planned-stops-cut-nothing $? "$(cat "$LOGS/load.txt")"
head -1 "$LOGS/load.txt" | grep -qE 'orders ([0-9]+)/\1,'
verdict planned-stops-lose-no-order $? "$(cat "$LOGS/load.txt")"
expect ran-twice-in-all 0 "$(run_twice)"
expect no-key-at-backend-servers 0 "$(ran | grep -c KEY-SEEN)"

# Logs, state dumps and metrics contain no secret.
{ cat "$LOGS"/e?.log "$LOGS"/w?.log; for name in e1 e2 e3 w1; do
  curl -s "http://${ADMIN[$name]}/state"; curl -s "http://${ADMIN[$name]}/metrics"; done; } >"$LOGS/all"
expect no-secrets 0 "$(grep -cE 'demo-key|demo-spare|v1~' "$LOGS/all")"
overruns=0
for port in 301 302 303; do overruns=$((overruns + $(curl -s "http://127.0.0.1:${BASE}$port/overruns"))); done
expect no-slot-overrun 0 "$overruns"
exit $failed
