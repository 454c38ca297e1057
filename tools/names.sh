#!/usr/bin/env bash
# Fails if src/ contains a name of the users' platform; only platform/ and its tests may use these.
cd "$(dirname "$0")/.." || exit 1
found=$(git grep -nE 'Vanillaloft-|VANILLALOFT_BOOT|op/config|op/evacuate|servers/|/v1/kv-|/v1/resolve|/v1/readiness|api_keys|home_regions|traffic_split|cold_left_s' -- src)
[ -z "$found" ] && exit 0
echo "$found"
exit 1
