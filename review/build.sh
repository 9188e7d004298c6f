#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need nothing but Python's
# standard library; the daemons use what the deploy file builds in target/.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/bed.py review/rules.py review/[1-5]/case.py
