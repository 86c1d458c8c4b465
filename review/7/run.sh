#!/usr/bin/env bash
# Exits with 1 if a client got an answer that is not its own, 0 if none did, 2 if the case could not run.
. "$(dirname "$0")/../run_case-2.sh"
