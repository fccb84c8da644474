#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs target/release/kumquatlock-platform and review/build.sh.
# TROUBLE=0 does the same without the disruption, and must pass.
set -euo pipefail
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
exec target/review/standin twice review/1
