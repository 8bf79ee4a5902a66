//! Performance measurements of the release build on the local machine. Each
//! takes less than a minute.
//!
//! To add one, write a module with a function
//! `run(programs) -> Result<Value, MeasureError>`, add a variant to
//! [`Measurement`] and call the function in `Measurement::run`.

pub mod capacity;
mod comparison;
pub mod config_spread;
pub mod fit;
pub mod overhead;
pub mod short_behind_long;
pub mod stragglers;
pub mod surge;

use std::{fs, path::PathBuf};

use clap::{Args, ValueEnum};
use harness::{HarnessError, Programs};
use serde_json::Value;

use crate::build::{build, BuildError, Profile};

/// The available measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Latency and CPU time that entry and agent add to a request.
    Overhead,
    /// Control-plane cost per process, by size of the fleet and configuration.
    Capacity,
    /// Time until a configuration is in force in all processes.
    ConfigSpread,
    /// Load peak of five times the capacity, as after a power cut.
    Surge,
    /// Latency of short requests while long requests occupy all engines.
    ShortBehindLong,
    /// Latency while some engines are slow and load reports are delayed.
    Stragglers,
}

/// Command-line arguments of a measurement.
#[derive(Clone, Debug, Args)]
pub struct MeasureArgs {
    /// Measurement to run.
    #[arg(value_enum)]
    pub name: Measurement,
    /// File to which the figures are also written as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Error that ends a measurement.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The programs could not be built.
    #[error(transparent)]
    Build(#[from] BuildError),
    /// A process of the cluster failed.
    #[error(transparent)]
    Cluster(#[from] HarnessError),
    /// The figures would be invalid; contains the reason.
    #[error("{0}")]
    Invalid(String),
    /// The figures could not be written.
    #[error("{path}: {source}")]
    File {
        /// Path given with `--json`.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl Measurement {
    async fn run(self, programs: Programs) -> Result<Value, MeasureError> {
        match self {
            Measurement::Overhead => overhead::run(programs).await,
            Measurement::Capacity => capacity::run(programs).await,
            Measurement::ConfigSpread => config_spread::run(programs).await,
            Measurement::Surge => surge::run(programs).await,
            Measurement::ShortBehindLong => short_behind_long::run(programs).await,
            Measurement::Stragglers => stragglers::run(programs).await,
        }
    }
}

/// Builds the release programs, runs the measurement, and prints and writes
/// the figures.
///
/// # Errors
///
/// Returns an error if the measurement fails. Missing a performance target is
/// not an error.
pub fn run(args: &MeasureArgs) -> Result<(), MeasureError> {
    let programs = build(Profile::Release)?;
    let figures = smol::block_on(args.name.run(programs))?;
    let text = format!("{figures:#}\n");
    print!("{text}");
    let Some(path) = &args.json else {
        return Ok(());
    };
    fs::write(path, text).map_err(|source| MeasureError::File {
        path: path.display().to_string(),
        source,
    })
}
