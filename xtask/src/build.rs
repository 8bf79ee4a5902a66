//! Builds the programs that a task starts as processes.

use std::{path::Path, process::Command};

use harness::Programs;

/// Packages whose programs a task may start.
const PACKAGES: [&str; 3] = ["limpetgw", "standins", "wire-standins"];

/// Cargo profile to build with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Unoptimized, as in tests.
    Dev,
    /// Optimized, as in the released programs.
    Release,
}

/// Error while building the programs.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// Cargo or this program's own path is not available.
    #[error("cannot start cargo: {0}")]
    Cargo(#[from] std::io::Error),
    /// The build failed. Cargo has printed the reason to standard error.
    #[error("cargo build failed")]
    Failed,
}

/// Builds the programs and returns their locations.
///
/// # Errors
///
/// Returns an error if cargo cannot be started or the build fails.
pub fn build(profile: Profile) -> Result<Programs, BuildError> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--bins"]);
    for package in PACKAGES {
        command.args(["--package", package]);
    }
    if profile == Profile::Release {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(BuildError::Failed);
    }
    let profile_dir = match profile {
        Profile::Dev => "debug",
        Profile::Release => "release",
    };
    // This program's own binary is in a profile directory of the same target
    // directory.
    let current = std::env::current_exe()?;
    let target_dir = current.parent().and_then(Path::parent);
    Ok(Programs::in_dir(
        target_dir.unwrap_or(Path::new("target")).join(profile_dir),
    ))
}
