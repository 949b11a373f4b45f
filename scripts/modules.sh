#!/usr/bin/env bash
# Prints the directories of the workspace's modules, without tools, which has no
# packages of this project.
set -euo pipefail
cd "$(dirname "$0")/.."
go list -m -f '{{.Dir}}' | while read -r folder; do
  case $folder in
    */tools) ;;
    *) echo "$folder" ;;
  esac
done
