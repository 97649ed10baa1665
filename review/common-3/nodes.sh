# Starts the nodes of a small deployment for a case: three entries and
# eleven agents, with the commands of the deploy file and settings rendered like those
# of the platform. To be sourced from the repository's root.
#   NET=127.x.y  DIR=temporary folder  PIDS=ids of the processes started, empty at
#   first  LAB=id of the process that stands in for the platform

# Renders a template of the deploy file with the values of the deployment.
startNode() { # template name host cpu_share memory_mb
  sed -e "s/{{NodeName}}/$2/; s/{{Region}}/perth-metro/; s/{{Zone}}/perth-east/" \
    -e "s/{{Limits.CpuShare}}/$4/; s/{{Limits.MemoryMb}}/$5/" \
    -e "s/{{Limits.MaxFds}}/4096/; s/{{Ip}}/$NET.$3/; s/{{PortRange.0}}/7000/" \
    -e "s/{{Listen.Front}}/$NET.$3:8521/; s/{{Listen.Readiness}}/$NET.$3:8523/" \
    -e "s/{{Listen.Control}}/$NET.$3:8526/; s/{{app}}/$NET.$((90 + $3)):8529/" \
    -e "s/{{platform.Address}}/$NET.250:8524/" \
    -e "s/{{Seeds}}/$NET.1:8526,$NET.2:8526,$NET.3:8526/" \
    -e "s/{{Bounds.HoldMaxMs}}/6000/; s/{{Bounds.GangWaitMs}}/3000/" \
    -e "s/{{Bounds.StopMs}}/200/; s/{{Bounds.ReclaimMs}}/2700/" \
    -e "s/{{Bounds.status_s}}/120/" "deploy/$1" >"$DIR/$2.yaml"
  keepRunning "$2" &
  PIDS="$PIDS $!"
}

# Starts the node again 3 s after its process was killed, as the platform does.
keepRunning() { # name
  trap 'kill -KILL "$NODE" 2>/dev/null; exit' TERM
  for I in 1 2 3 4; do
    GERANIUMPADDLE_BOOT="$DIR/$1.yaml" target/src/daemon/geraniumpaddled \
      --settings="$DIR/$1.yaml" >>"$DIR/$1.log" 2>&1 &
    NODE=$!
    echo "$NODE" >"$DIR/$1.pid"
    wait "$NODE"
    sleep 3 &
    NODE=$!
    wait "$NODE"
  done 2>/dev/null
}

startNodes() {
  local I
  for I in 1 2 3; do
    startNode entry.yaml "edge-$I" "$I" 0.25 260
  done
  for I in 1 2 3 4 5 6 7 8 9 10 11; do
    startNode agent.yaml "side-$I" "$((10 + I))" 0.15 128
  done
}

endNodes() {
  [ -z "$LAB" ] || kill -TERM "$LAB" 2>/dev/null
  [ -z "$PIDS" ] || kill -TERM $PIDS 2>/dev/null
  wait $PIDS 2>/dev/null
  [ -n "$KEEP" ] || rm -rf "$DIR"
}
