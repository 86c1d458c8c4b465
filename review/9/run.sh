#!/usr/bin/env bash
# Exits with 1 if a request ran twice, 0 if none did, 2 if the case could not run.
. "$(dirname "$0")/../run_case-2.sh"
