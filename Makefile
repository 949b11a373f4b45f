.PHONY: run run-own smoke test build check unit model failures soak measure install

# Starts a sample fleet of the users' platform and serves until interrupted.
run: build
	scripts/gateway.sh run

# Starts a sample fleet of the project's own platform and serves until interrupted.
run-own: build
	scripts/fleet.sh run

# Starts both sample fleets, checks them and stops them.
smoke: build
	scripts/gateway.sh smoke
	scripts/fleet.sh smoke

# Everything that CI runs.
test: install check unit model smoke failures soak

install:
	scripts/install.sh

build:
	mkdir -p build/bin
	go build -o build/bin/entry ./entry
	go build -o build/bin/gateway ./gateway
	go build -o build/bin/operator ./operator
	go build -o build/bin/soak ./soak
	go build -o build/bin/standin ./standin

check:
	scripts/check.sh
	scripts/names.sh

unit:
	scripts/test.sh

# Checks the specifications of the core protocols with Spin.
model:
	scripts/model.sh

# Kills, freezes and cuts processes of a sample fleet.
failures: build
	scripts/failures.sh

# Plays seeded faults against VMs of the users' platform.
soak: build
	scripts/soak.sh

# Prints the tables of docs/MEASUREMENTS.md.
measure:
	scripts/measure.sh
