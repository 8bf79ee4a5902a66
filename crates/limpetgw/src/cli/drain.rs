//! The command `limpetgw drain`, which drains an instance.

use clap::Args;
use serde::Serialize;

use super::{operator::OperatorArgs, CliError};

/// Arguments of `limpetgw drain`.
#[derive(Debug, Args)]
pub(crate) struct DrainArgs {
    /// Name of the instance, as `limpetgw status` lists it.
    instance: String,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// Output of `limpetgw drain`.
#[derive(Serialize)]
struct DrainReport {
    /// Name of the instance that confirmed the drain.
    draining: String,
}

impl DrainArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        ::console::drain(&self.operator.client()?, &self.instance).await?;
        let report = DrainReport {
            draining: self.instance.clone(),
        };
        self.operator.print(&report, |report| {
            format!(
                "{} is draining: it accepts no new requests and stops when its requests have ended",
                report.draining
            )
        });
        Ok(())
    }
}
