#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs target/release/kumquatlock-platform and review/build.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec target/review/standin late review/5
