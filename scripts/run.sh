#!/usr/bin/env bash
# Starts a whole deployment on this machine and, when interrupted, stops its
# processes in order: entries, schedulers, watches, stand-ins.
set -u
cd "$(dirname "$0")/.." || exit 2
deployment=${1:-buscodigo}
here=examples/$deployment
[ -f "$here/config.json" ] || { echo "run: no deployment named $deployment; see examples/" >&2; exit 2; }
. "$here/demo.env"
logs=${RUN_DIR:-run}/$deployment
mkdir -p "$logs"
standins=() watches=() schedulers=() entries=()

start() { # NAME PROGRAM SETTINGS
  bin/"$2" -settings "$3" >"$logs/$1.log" 2>&1 &
  echo $! >"$logs/$1.pid"
}

stop_all() {
  trap '' INT TERM
  kill -TERM "${entries[@]}" 2>/dev/null
  wait "${entries[@]}" 2>/dev/null
  kill -TERM "${schedulers[@]}" 2>/dev/null
  wait "${schedulers[@]}" 2>/dev/null
  kill -TERM "${watches[@]}" 2>/dev/null
  wait "${watches[@]}" 2>/dev/null
  kill -KILL "${standins[@]}" 2>/dev/null
  wait 2>/dev/null
  exit 0
}
trap stop_all INT TERM

# Prints a string setting from a settings file.
setting() { sed -n "s/^ *\"$2\": \"\(.*\)\".*/\1/p" "$1"; }

start platform dillsaddle-standin "$here/platform.json"; standins+=($!)
for i in 1 2 3; do start engine-$i dillsaddle-standin "$here/engine-$i.json"; standins+=($!); done
start service-1 dillsaddle-standin "$here/service-1.json"; standins+=($!)
for i in 1 2 3; do start box-$i-watch dillsaddle-watch "$here/box-$i.json"; watches+=($!); done
for i in 1 2 3; do start box-$i-scheduler dillsaddle-scheduler "$here/box-$i.json"; schedulers+=($!); done
for i in 1 2 3; do start box-$i-entry dillsaddle-entry "$here/box-$i.json"; entries+=($!); done

for i in 1 2 3; do
  admin=$(setting "$here/box-$i.json" entry-admin)
  bin/dillsaddle ready -wait 60s "$admin" >/dev/null || { echo "run: box-$i is not ready after 60 s; see $logs" >&2; }
  echo "ready: http://$(setting "$here/box-$i.json" entry) key=$DEMO_KEY model=$DEMO_MODEL"
done
wait "${entries[@]}"
stop_all
