#!/usr/bin/env bash
# Fails if names from the users' platform occur outside platform/ in code that is
# not a test. Tests use the platform's protocol over sockets and may contain them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Remaining-Milliseconds|X-Not-Executed|X-Response-Signature|X-Expected-Instance|X-Instance-Id'
names+='|Store-Era|X-Credential|X-Tenant|EntryVersion|rows-(tx|get|feed)|AllowAnonymous|WarmupRemaining|X-Warmup-Milliseconds|GODWITRAMP_SETTINGS'
if git grep -nE "$names" -- '*.go' ':!platform/**' ':!*_test.go'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
echo "the platform's names stand in platform/ only"
