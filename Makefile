.PHONY: build test lint run check

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# CONFIG names the configuration file.
run: build
	target/release/corkreach serve --config $(CONFIG)

# The whole verdict, as CI gives it.
check:
	.ci/run
