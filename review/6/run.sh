#!/usr/bin/env bash
# Exits with 1 if the gateway exceeds its memory or ends, 0 if it does not, 2 if the case could not run.
. "$(dirname "$0")/../run_case-2.sh"
