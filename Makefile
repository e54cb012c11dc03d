# The commands of `.ci/run` and the README, by name.
.PHONY: build test lint run proof-store

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# One router: make run ROUTER_CONFIG=docs/example.json
run: build
	ROUTER_CONFIG=$(ROUTER_CONFIG) exec target/release/chalkhall-router

# Kills, crash points, days and figures of the store; ends on one line. Any SEED must hold.
SEED ?= 1
proof-store:
	cargo build --release --locked -p chalkhall-cli
	cargo run --release --locked -p chalkhall-cli --bin proof-store -- --seed $(SEED)
