//! Measurements of the release build on this machine, each under a minute.
//!
//! To add one: a module with `run(programs) -> Result<Value, MeasureError>`, a
//! variant of [`Measurement`], and its line in `Measurement::run`.

pub mod capacity;
pub mod config_spread;
pub mod fit;
pub mod overhead;
mod rivals;
pub mod short_behind_long;
pub mod stragglers;
pub mod surge;

use std::{fs, path::PathBuf};

use clap::{Args, ValueEnum};
use harness::{HarnessError, Programs};
use serde_json::Value;

use crate::build::{build, BuildError, Profile};

/// What to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// What a request costs on its way through entry and agent.
    Overhead,
    /// What control costs a process, by the size of fleet and configuration.
    Capacity,
    /// How soon a configuration is in force everywhere.
    ConfigSpread,
    /// Everyone calls in the same second after a power cut.
    Surge,
    /// Short questions while long plans fill every engine.
    ShortBehindLong,
    /// Some engines slower in turns, load reports late.
    Stragglers,
}

/// Which measurement, and where its figures go.
#[derive(Clone, Debug, Args)]
pub struct MeasureArgs {
    /// What to measure.
    #[arg(value_enum)]
    pub name: Measurement,
    /// File for the figures.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// A measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The programs could not be built.
    #[error(transparent)]
    Build(#[from] BuildError),
    /// A process failed.
    #[error(transparent)]
    Cluster(#[from] HarnessError),
    /// The figures would mean nothing.
    #[error("{0}")]
    Invalid(String),
    /// The figures could not be written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The system's word.
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

/// Builds the release programs, measures, and prints and writes the figures.
///
/// # Errors
///
/// When the measurement fails; a target that is missed is no failure.
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
