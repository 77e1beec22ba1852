.PHONY: build test lint run

build:
	cargo build --locked --release

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# Starts one ingress; the RELAY_ variables tell it where (README.md).
run: build
	exec target/release/weldhub
