# Runs the program of one case; sourced by its run.sh. Exits with 0, 1 or 2 like the program.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
program="review/build/case$(basename "$folder")"
if [ ! -x build/quota_gateway ] || [ ! -x "$program" ]; then
  echo "cannot run: build the gateway and run review/build.sh first" >&2
  exit 2
fi
TMPDIR="$(mktemp -d)"
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 1 115 "$program" "$folder/record.txt"
status=$?
for log in "$TMPDIR"/n*/log; do
  sed "s/^/log of $(basename "$(dirname "$log")"): /" "$log" >>"$folder/record.txt"
done
[ "$status" -le 1 ] || exit 2
exit "$status"
