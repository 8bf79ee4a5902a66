//! The command `limpetgw status`, which shows the state of all processes.

use clap::Args;

use super::{operator::OperatorArgs, CliError};

/// Arguments of `limpetgw status`.
#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    operator: OperatorArgs,
}

impl StatusArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        let status = ::console::status(&self.operator.client()?).await?;
        self.operator.print(&status, ::console::status_text);
        Ok(())
    }
}
