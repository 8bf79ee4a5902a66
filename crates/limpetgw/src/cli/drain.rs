//! `limpetgw drain`.

use clap::Args;
use serde::Serialize;

use super::{operator::OperatorArgs, CliError};

/// Lets an instance finish what it has and leave.
#[derive(Debug, Args)]
pub(crate) struct DrainArgs {
    /// The instance, as `limpetgw status` lists it.
    instance: String,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// What the command did.
#[derive(Serialize)]
struct DrainReport {
    /// The instance that confirmed that it drains.
    draining: String,
}

impl DrainArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        ::console::drain(&self.operator.operator()?, &self.instance).await?;
        let report = DrainReport {
            draining: self.instance.clone(),
        };
        self.operator.print(&report, |report| {
            format!(
                "{} takes no new work and leaves when it has finished",
                report.draining
            )
        });
        Ok(())
    }
}
