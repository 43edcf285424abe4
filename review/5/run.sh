#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out its disruption. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 115 ../../target/cases leaving-after-outage .
