#!/usr/bin/env bash
# Prints the folders of the workspace's modules that have packages of ours.
set -euo pipefail
cd "$(dirname "$0")/.."
go list -m -f '{{.Dir}}' | while read -r folder; do
  case $folder in
    */tools) ;;
    *) echo "$folder" ;;
  esac
done
