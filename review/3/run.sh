#!/usr/bin/env bash
# Runs the case that claim.txt describes. With TROUBLE=0 it leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run_case.sh" cut_by_stop "$here"
