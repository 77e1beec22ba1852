.PHONY: build test lint run run-authz

build:
	cargo build --locked --release

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# One ingress of the platform; RELAY_CONFIG names its configuration.
run: build
	exec target/release/weldhub

# One instance of the authorisation front.
run-authz: build
	exec target/release/weldhub --ext-authz deploy/ext-authz.toml
