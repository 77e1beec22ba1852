.PHONY: build test test-known-red lint run run-ingress run-authz trials soak scale

build:
	cargo build --locked --release

# Passes over just the tests of KNOWN-RED.txt, which fail for faults that are known, and says which.
test: build
	@sed 's/^/known red, passed over: /' KNOWN-RED.txt
	cargo test --locked --workspace --features weldhub-client/tls -- --exact $$(sed 's/^\([a-z0-9_:]*\): .*/--skip \1/' KNOWN-RED.txt)

# The tests of KNOWN-RED.txt alone: they fail.
test-known-red:
	@if [ ! -s KNOWN-RED.txt ]; then echo "no test is known to fail"; \
	else cargo test --locked --workspace --features weldhub-client/tls --no-fail-fast -- --exact $$(sed 's/: .*//' KNOWN-RED.txt); fi

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets --features weldhub-client/tls -- -D warnings

# A small fleet on loopback: three ingresses before five stand-in real servers. It says what to try.
run: build
	cargo build --locked --release -p weldhub-trials
	exec target/release/weldhub-trials fleet

# One ingress of the platform; RELAY_CONFIG names its configuration.
run-ingress: build
	exec target/release/weldhub

# Processes of the program, with faults between them; some minutes.
trials: build
	cargo build --locked --release -p weldhub-trials
	target/release/weldhub-trials play trials/scripts/*.toml

# Fifty soaks drawn by seed, some twelve minutes; a few are part of the tests.
soak: build
	cargo build --locked --release -p weldhub-trials
	target/release/weldhub-trials soak --seeds 50

# What an ingress costs at several sizes, with bounded subsets of backends and without; some minutes. docs/CAPACITY.md
scale: build
	cargo build --locked --release -p weldhub-trials
	target/release/weldhub-trials scale --folder target/scale/whole
	target/release/weldhub-trials scale --parts list,peers,subsets,real --subset 48 --folder target/scale/subset

# One instance of the authorisation front.
run-authz: build
	exec target/release/weldhub --ext-authz deploy/ext-authz.toml
