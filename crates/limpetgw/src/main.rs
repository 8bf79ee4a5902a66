//! The `limpetgw` program: daemons and operator commands in one binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetgw::run()
}
