# Sourced by the run.sh of a case: runs its stand-ins and clients in a temporary folder, which start
# the processes of the system with the program of the deploy file. Exit status: 1 broken, 0 held, 2
# the case could not run.
cd "$(dirname "$0")"
number=$(basename "$PWD")
root=$(cd ../.. && pwd)
program=$root/target/review/case-$number
export GATEWAY=$root/target/modules/daemon/sycamoreleverd
[ -x "$program" ] && [ -x "$GATEWAY" ] || { echo "build the deploy file's programs and run review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 118 "$program" "$folder" "$PWD/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"/ 2>/dev/null || true; fi
exit "$status"
