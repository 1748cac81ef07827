#!/usr/bin/env bash
# Issues the keys of every host of an example into its folder "keys".
# Needs eelgrasswharf in the PATH, or its path in EELGRASSWHARF.
set -euo pipefail
cd "$(dirname "$0")/${1:?name the folder of the example}"
program=${EELGRASSWHARF:-eelgrasswharf}
"$program" keys init keys
for file in control-*.ini entry-*.ini; do
  name=${file%.ini}
  "$program" keys issue keys "${name%-*}" "$name"
done
for file in agent-*.ini; do
  name=${file%.ini}
  service=${name#agent-}
  service=${service%-*}
  "$program" keys issue keys agent "$name" --service "$service"
done
for service in $(sed -n 's/^\[service \(.*\)\]$/\1/p' services.ini); do
  "$program" keys issue keys caller --service "$service"
done
"$program" keys issue keys operator "${USER:-operator}"
