#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs no network: they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
