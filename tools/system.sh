# Functions that start a small system on loopback addresses; sourced by tools/demo, tools/experiment
# and tools/measure. The caller sets:
#   bin      directory of the built modules
#   dir      directory for settings and logs
#   net      first two octets of the addresses, e.g. 127.1; region N has the addresses NET.N.x
#   regions  names of the regions
# and may set engine_flags, max_running, entry_extra and sidecar_extra (further settings, each with a
# leading comma).

pids=()
daemon_pids=()
instances=()
declare -A pid_of # Process id by process name.


# Stops the daemons first: they release their partitions in the log, which must still be running.
stop_all() {
  for pid in "${daemon_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${daemon_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# start NAME COMMAND...: runs a process in the background with its own log file.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# wait_for WHAT COMMAND...: repeats COMMAND until it succeeds, for 20 s at most.
wait_for() {
  local what=$1 end=$((SECONDS + 20))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "$what did not become ready; logs:" >&2
      tail -n 5 "$dir"/*.log >&2
      exit 1
    fi
    sleep 0.1
  done
}

# Prints the settings of the links between all regions, with a one-way delay of 30 ms.
link_settings() {
  local from to list=()
  for from in "${regions[@]}"; do
    for to in "${regions[@]}"; do
      [[ $from < $to ]] &&
        list+=("{\"from\":\"$from\",\"to\":\"$to\",\"delay_us\":30000,\"cost_per_megabyte\":50}")
    done
  done
  (IFS=,; echo "[${list[*]}]")
}

# add_instance NAME ROLE REGION ADDRESS: adds a row to the instance list.
add_instance() {
  instances+=("{\"name\":\"$1\",\"role\":\"$2\",\"region\":\"$3\",\"domain\":\"$3-1\",\"address\":\"$4:9000\",\"state\":\"live\"}")
}

# add_sidecar REGION_NUMBER HOST SERVICE KIND: writes the settings of one sidecar and starts
# the stand-in for its target. HOST is the last octet of their address.
add_sidecar() {
  local number=$1 host=$2 service=$3 kind=$4 flags=()
  local region=${regions[$((number - 1))]} address=$net.$number.$host name=$service-$number-$host
  [ "$kind" = engine ] && read -r -a flags <<<"${engine_flags:-}"
  start "target-$name" "$bin/testbed/standin" "$kind" --listen="$address:8100" "${flags[@]}"
  cat >"$dir/sidecar-$name.json" <<JSON
{"role":"sidecar","instance":"sidecar-$name","region":"$region","domain":"$region-1",
 "http":"$address:8000","peer":"$address:9000","weight_store":"$net.0.1:7003",
 "targets":[{"name":"$name","service":"$service","kind":"$kind","checks_fence":true,
  "endpoint":"$address:8100","max_running":${max_running:-32}}]${sidecar_extra:-}}
JSON
  add_instance "sidecar-$name" sidecar "$region" "$address"
}

# add_entry REGION_NUMBER: writes the settings of one entry.
add_entry() {
  local number=$1 region=${regions[$(($1 - 1))]} address=$net.$1.1
  cat >"$dir/entry-$number.json" <<JSON
{"role":"entry","instance":"entry-$number","region":"$region","domain":"$region-1",
 "http":"$address:8000","peer":"$address:9000","log":"$net.0.1:7001",
 "instance_list":"$net.0.1:7002","links":$(link_settings),"partitions":8${entry_extra:-}}
JSON
  add_instance "entry-$number" entry "$region" "$address"
}

# Starts the stand-ins for the platform services, then a daemon for each settings file.
start_system() {
  local settings name
  start log "$bin/testbed/standin" log --listen="$net.0.1:7001"
  start weights "$bin/testbed/standin" weights --listen="$net.0.1:7003"
  start instances "$bin/testbed/standin" instances --listen="$net.0.1:7002" \
    --instances="[$(IFS=,; echo "${instances[*]}")]"
  for settings in "$dir"/{entry,sidecar}-*.json; do
    name=$(basename "$settings" .json)
    start "$name" "$bin/daemon/sycamoreleverd" --settings="$settings"
    daemon_pids+=("${pids[-1]}")
  done
}
