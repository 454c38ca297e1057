# Functions that start and stop a small site on loopback, sourced by demo.sh and process.sh. BUILD is
# the build folder, BASE the leading digits of the ports.
#
# Instances e1 and e2 (east-1), e3 (east-2), w1 (west-1); backend servers stock-1, stock-2 and
# reorders-1; one store stand-in.

BASE=${BASE:-7}
PIDS=()
declare -A PID
LOGS=$(mktemp -d)
STORE=127.0.0.1:${BASE}500
declare -A ENTRY=([e1]=127.0.0.1:${BASE}001 [e2]=127.0.0.1:${BASE}002 [e3]=127.0.0.1:${BASE}003
                  [w1]=127.0.0.1:${BASE}004)
declare -A PEER=([e1]=127.0.0.1:${BASE}101 [e2]=127.0.0.1:${BASE}102 [e3]=127.0.0.1:${BASE}103
                 [w1]=127.0.0.1:${BASE}104)
declare -A ADMIN=([e1]=127.0.0.1:${BASE}201 [e2]=127.0.0.1:${BASE}202 [e3]=127.0.0.1:${BASE}203
                  [w1]=127.0.0.1:${BASE}204)
declare -A CENTRE=([e1]=east-1 [e2]=east-1 [e3]=east-2 [w1]=west-1)
ENTRIES=${ENTRY[e1]},${ENTRY[e2]},${ENTRY[e3]},${ENTRY[w1]}
ADMINS=${ADMIN[e1]},${ADMIN[e2]},${ADMIN[e3]},${ADMIN[w1]}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$LOGS/$name.log" 2>&1 &
  PID[$name]=$!
  PIDS+=($!)
}

start_instance() { # NAME
  start "$1" "${PROGRAM:-$BUILD/src/vanillaloftd}" --data-centre "${CENTRE[$1]}" --listen "${ENTRY[$1]}" \
    --peer-listen "${PEER[$1]}" --admin-listen "${ADMIN[$1]}" --store "$STORE" \
    --ticket-ttl-ms "${TICKET_TTL_MS:-4000}" --stop-timeout-ms "${STOP_TIMEOUT_MS:-20000}" --request-timeout-ms "${REQUEST_TIMEOUT_MS:-10000}"
}

start_backend() { # NAME PORT SERVICE-TIME-MS
  start "$1" "$BUILD/tests/backend-standin" "127.0.0.1:${BASE}$2" 8 "$3"
}

start_site() {
  local list="" name
  for name in e1 e2 e3 w1; do
    list+="${list:+,}{\"address\":\"${PEER[$name]}\",\"data_centre\":\"${CENTRE[$name]}\"}"
  done
  start store "$BUILD/tests/store-standin" "$STORE" "[$list]"
  start_backend stock-1 301 2
  start_backend stock-2 302 2
  start_backend reorders-1 303 2
  for name in e1 e2 e3 w1; do start_instance "$name"; done
}

wait_ready() { # INSTANCE...: waits until each is ready, has its peers and, if it owns backend servers, free slots
  local name i
  for name in "$@"; do
    for i in $(seq 150); do
      curl -sf "http://${ADMIN[$name]}/state" 2>/dev/null | python3 -c '
import json, sys
s = json.load(sys.stdin)
owned = [b for b in s["backend_servers"] if b["owned"]]
free = sum(s["free_slots"].values())
ready = s["ready"] and len(s["peers"]) >= int(sys.argv[1]) and (not owned or free > 0)
sys.exit(0 if ready else 1)' "${PEERS_WANTED:-3}" 2>/dev/null && continue 2
      sleep 0.1
    done
    echo "instance $name did not become ready; see its log:"
    tail -5 "$LOGS/$name.log"
    return 1
  done
}

ctl() { "$BUILD/src/vanillaloft" --store "$STORE" --instances "$ADMINS" "$@"; }

site_config() { sed "s/127\.0\.0\.1:7/127.0.0.1:${BASE}/" examples/demo.json; }

# Prints the logs of the backend servers: a line for each request that ran.
ran() {
  local port
  for port in 301 302 303; do curl -s "http://127.0.0.1:${BASE}$port/log"; done
}
# Prints the number of idempotency keys that ran more than once.
run_twice() { ran | awk '$1 ~ /\// {print $1}' | sort | uniq -d | wc -l; }

stop_site() {
  local pid
  trap - EXIT
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$LOGS"
}
