#!/bin/sh
# Builds the stand-ins that the scripts of REPORT-3.md start. The gateway itself is built as
# the deploy file says.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --package wire-standins
cargo build --release --locked --manifest-path review/rig-3/Cargo.toml --target-dir target/rig-3
