#!/usr/bin/env bash
# Plays this case; see claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case-2" same-request "$folder"
