# Runs the program of one case of the second review; sourced by its run.sh. Exits with 0, 1 or 2 like
# the program: the rule held, it was broken, the case could not run.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="review/build-2/case$(basename "$folder")"
if [ ! -x build/quota_gateway ] || [ ! -x "$program" ]; then
  echo "cannot run: run the build line of deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
fi
TMPDIR="$(mktemp -d)"
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 1 115 "$program" "$folder/record.txt"
status=$?
[ -f "$TMPDIR/log" ] && sed 's/^/gateway: /' "$TMPDIR/log" | head -200 >>"$folder/record.txt"
[ "$status" -le 1 ] || exit 2
exit "$status"
