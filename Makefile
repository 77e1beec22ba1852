.PHONY: build test lint run run-authz

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace --features weldhub-client/tls

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets --features weldhub-client/tls -- -D warnings

# One ingress of the platform; RELAY_CONFIG names its configuration.
run: build
	exec target/release/weldhub

# One instance of the authorisation front.
run-authz: build
	exec target/release/weldhub --ext-authz deploy/ext-authz.toml
