#!/usr/bin/env bash
# Runs the measurements listed in docs/MEASUREMENTS.md. Takes about half an hour.
set -euo pipefail
cd "$(dirname "$0")/.."
(cd core && MEASURE=1 go test ./lender -run Wrongful -v -timeout 30m)
(cd core && go test ./ejector -run TestMeasureDetection -v -trials 100 -timeout 30m)
(cd core && go test ./ejector -run TestMeasureFalseEjections -v -hours 24 -timeout 2h)
(cd core && go test ./router -run TestMeasureSpread -v)
(cd core && go test ./queuer -run TestOneOrganisationAtFiveTimesItsRate -v)
(cd core && go test ./follower -run Policies -v -full -timeout 30m)
(cd core && go test ./watcher -run TestFanOutDoesNotGrow -v)
(cd core && go test ./forecaster -v)
(cd entry && go test ./internal/syncer -run InForceEv -v -full -timeout 30m)
(cd entry && go test ./internal/steward -run TestMeasureCalls -v)
(cd core && go test ./configurator ./limiter ./router ./ejector ./queuer ./burner ./arranger -run xxx -bench .)
go run ./entry/benchmark
