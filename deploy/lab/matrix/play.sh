#!/bin/sh
# Plays the matrix of docs/results/pressed.md with real processes, one play after another; what is there is kept.
#
#     deploy/lab/matrix/play.sh FOLDER [PROGRAM]
#
# PREFIX, if set, is put before each play (a command that waits for its turn, say).
set -eu
out=$1
program=${2:-target/release/corkreach}
here=$(dirname "$0")
for seed in 1 2 3 4 5; do
    for scenario in pressed crash storm; do
        for instances in 3 10 20; do
            folder=$out/$scenario-$instances-$seed
            [ -e "$folder/summary.json" ] && continue
            # shellcheck disable=SC2086
            ${PREFIX:-} "$program" lab "$here/$scenario.yaml" --out "$folder" --seed "$seed" \
                --instances "$instances" >/dev/null
            rm -rf "$folder/instances"
        done
    done
done
