#!/bin/sh
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
exec target/review/stand twice "$folder"
