# Functions that start a whole deployment on loopback and end it; sourced by bin/demo and bin/trial.

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
STAND_INS="$ROOT/test_helpers/target/apricotmill-stand-ins-all.jar"
DAEMON="$ROOT/daemon/target/apricotmilld-all.jar"
COMMAND_LINE="$ROOT/cli/target/apricotmill-all.jar"
ZONES=(lisbon-1 lisbon-2 lisbon-3)
JAVA_OPTIONS=(-XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xshare:auto)
START_SECONDS=30
PIDS=()
PUBLIC=()
INNER=()
OPERATORS=()
DAEMON_PIDS=()
DAEMON_NAMES=()
ENGINES=()
ENGINE_PIDS=()
SERVICES=()

build_if_missing() {
  if [[ ! -f "$STAND_INS" || ! -f "$DAEMON" || ! -f "$COMMAND_LINE" ]]; then
    (cd "$ROOT" && mvn -B -ntp -q -DskipTests package)
  fi
}

end_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    # The number of a process that has ended may belong to somebody else by now.
    if [[ "$(ps -o ppid= -p "$pid" 2>/dev/null | tr -d ' ')" == "$$" ]]; then
      kill -KILL "$pid" 2>/dev/null || true
    fi
  done
  rm -rf "$WORK"
}

# Waits until a file has a line that matches an expression, and prints the match.
await_match() {
  local file="$1" expression="$2" attempt
  for ((attempt = 0; attempt < START_SECONDS * 10; attempt++)); do
    if grep -oE "$expression" "$file" 2>/dev/null | head -1 | grep .; then
      return 0
    fi
    sleep 0.1
  done
  echo "deployment: nothing like '$expression' in $file:" >&2
  tail -20 "$file" >&2
  return 1
}

# start_stand_in NAME HEAP ARGUMENT...; the address is left in ADDRESS.
start_stand_in() {
  local name="$1" heap="$2" ready
  shift 2
  java "${JAVA_OPTIONS[@]}" "-Xmx$heap" -jar "$STAND_INS" "$@" >"$WORK/$name.log" 2>&1 &
  disown $!
  PIDS+=($!)
  LAST_PID=$!
  ready="$(await_match "$WORK/$name.log" '^ready [0-9]+')"
  ADDRESS="127.0.0.1:${ready#ready }"
}

# launch_daemon NAME ZONE PUBLIC_PORT INNER_PORT OPERATORS_PORT; the process is left in LAST_PID.
launch_daemon() {
  java "${JAVA_OPTIONS[@]}" -Xms64m -Xmx256m -jar "$DAEMON" \
    --daemon-name "$1" --zone "$2" --platform-address "$PLATFORM" \
    --public-port "$3" --inner-port "$4" --operators-port "$5" >>"$WORK/$1.log" 2>&1 &
  disown $!
  PIDS+=($!)
  LAST_PID=$!
}

# start_daemon NAME ZONE
start_daemon() {
  launch_daemon "$1" "$2" 0 0 0
  DAEMON_PIDS+=("$LAST_PID")
  DAEMON_NAMES+=("$1")
}

# Reads the ports of the daemons from their logs.
await_daemons() {
  local name line addresses
  for name in "${DAEMON_NAMES[@]}"; do
    line="$(await_match "$WORK/$name.log" 'listens: public .*')"
    mapfile -t addresses < <(grep -oE '127\.0\.0\.1:[0-9]+' <<<"$line")
    PUBLIC+=("${addresses[0]}")
    INNER+=("${addresses[1]}")
    OPERATORS+=("${addresses[2]}")
  done
}

join() {
  local IFS=,
  echo "$*"
}

start_platform() {
  start_stand_in platform 128m platform --machine-list-lag-ms 200
  PLATFORM="$ADDRESS"
}

start_backends() {
  local index
  for index in 0 1 2 3 4 5; do
    start_stand_in "engine-$index" 256m engine --memory-tokens 400000 \
      --prefill-tokens-per-second 40000 --decode-tokens-per-second 50
    ENGINES+=("$ADDRESS")
    ENGINE_PIDS+=("$LAST_PID")
  done
  for index in 0 1; do
    start_stand_in "service-$index" 64m service --replica "desk-$index"
    SERVICES+=("$ADDRESS")
  done
}

start_daemons() {
  local zone number
  for zone in "${ZONES[@]}"; do
    for number in 1 2; do
      start_daemon "$zone-entry-$number" "$zone"
    done
  done
  await_daemons
}

# Prints the JSON of the replicas in an address list, spread over the zones.
replicas_json() {
  local prefix="$1" index separator=""
  shift
  index=0
  local address
  for address in "$@"; do
    printf '%s{"id":"%s-%d","zone":"%s","address":"%s","machine":"vm-%s-%d"}' \
      "$separator" "$prefix" "$index" "${ZONES[index % 3]}" "$address" "$prefix" "$index"
    separator=","
    index=$((index + 1))
  done
}

write_configuration() {
  cat >"$WORK/deployment.json" <<JSON
{
  "objective": "SHORT_REQUEST_SLOWDOWN",
  "customers": [
    {"id": "crews", "key": "crews-key-0123456789", "weight": 10, "priority": "HIGH",
     "limits": {"requestsPerSecond": 1000, "promptTokensPerSecond": 10000000, "openRequests": 1000}}
  ],
  "services": [
    {"kind": "MODEL_POOL", "name": "assistant",
     "replicas": [$(replicas_json engine "${ENGINES[@]}")],
     "profile": {"memoryTokens": 400000, "prefillTokensPerSecond": 40000,
                 "decodeTokensPerSecond": 50, "maximumSequences": 64},
     "checksFencing": true},
    {"kind": "PLAIN", "name": "dispatch",
     "replicas": [$(replicas_json desk "${SERVICES[@]}")],
     "keyPolicy": {"form": "TIMED", "window": "PT1H"}}
  ],
  "rules": [
    {"service": "assistant", "method": "*", "pathPrefix": "/", "access": "ALLOW",
     "repetition": "IDEMPOTENT", "timeLimit": "PT10M"},
    {"service": "dispatch", "method": "GET", "pathPrefix": "/status", "access": "ALLOW",
     "repetition": "IDEMPOTENT", "timeLimit": "PT5S"},
    {"service": "dispatch", "method": "POST", "pathPrefix": "/orders", "access": "ALLOW",
     "repetition": "AT_MOST_ONCE", "timeLimit": "PT30S"}
  ]
}
JSON
}

apply_configuration() {
  write_configuration
  java "${JAVA_OPTIONS[@]}" -jar "$COMMAND_LINE" config apply "$WORK/deployment.json" \
    --platform "$PLATFORM" --author demonstration
}

# Tells the platform which VMs there are.
publish_machines() {
  local index separator="" machines=""
  for index in "${!DAEMON_NAMES[@]}"; do
    machines+="$separator{\"name\":\"${DAEMON_NAMES[index]}\",\"role\":\"ENTRY\",\"zone\":\"${ZONES[index / 2]}\",\"address\":\"${INNER[index]}\",\"state\":\"LIVE\"}"
    separator=","
  done
  for index in "${!ENGINES[@]}"; do
    machines+="$separator{\"name\":\"vm-engine-$index\",\"role\":\"BACKEND\",\"zone\":\"${ZONES[index % 3]}\",\"address\":\"${ENGINES[index]}\",\"state\":\"LIVE\"}"
  done
  for index in "${!SERVICES[@]}"; do
    machines+="$separator{\"name\":\"vm-desk-$index\",\"role\":\"BACKEND\",\"zone\":\"${ZONES[index % 3]}\",\"address\":\"${SERVICES[index]}\",\"state\":\"LIVE\"}"
  done
  local body="{\"machines\":[$machines]}"
  exec 3<>"/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}"
  printf 'PUT /machines HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
    "$PLATFORM" "${#body}" "$body" >&3
  head -1 <&3 | grep -q ' 200 '
  exec 3>&-
}

start_deployment() {
  start_platform
  start_backends
  start_daemons
  publish_machines
  apply_configuration
}
