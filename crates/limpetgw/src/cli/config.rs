//! The command `limpetgw config`, which shows and changes the configuration.

use std::{path::PathBuf, time::Duration};

use ::console::SubmitArgs;
use clap::{Args, Subcommand};
use shared_state::SessionId;
use types::Generation;

use super::{
    common::check_addr,
    operator::{join_lines, OperatorArgs},
    CliError,
};

/// Arguments of `limpetgw config`.
#[derive(Debug, Args)]
pub(crate) struct ConfigArgs {
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// Print the current document.
    Show {
        /// Internal address (IP:port) of an entry or agent whose document is
        /// printed instead of the stored one.
        #[arg(long, env = "LIMPETGW_FROM")]
        from: Option<String>,
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// Print the changes that a document would make.
    Diff {
        /// File with the document (JSON).
        file: PathBuf,
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// Validate a document and submit it.
    Submit(SubmitCommand),
    /// Wait until every listed process has applied a generation.
    Wait {
        /// Generation to wait for, as `limpetgw config submit` prints it.
        generation: u64,
        /// Maximum time to wait, in milliseconds.
        #[arg(long, env = "LIMPETGW_WAIT_MS", default_value_t = 30_000)]
        wait_ms: u64,
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// List the last submissions, oldest first.
    History {
        #[command(flatten)]
        operator: OperatorArgs,
    },
}

/// Arguments of `limpetgw config submit`.
#[derive(Debug, Args)]
pub(crate) struct SubmitCommand {
    /// File with the document (JSON).
    file: PathBuf,
    /// Id of the session. Pass the printed id again to repeat a submission
    /// whose outcome is unknown. Without it, a new session starts, which can
    /// only replace the generation that is stored now.
    #[arg(long, env = "LIMPETGW_SESSION", value_parser = SessionId::parse)]
    session: Option<SessionId>,
    #[command(flatten)]
    session_args: SessionArgs,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// Arguments of the commands that submit a document.
#[derive(Debug, Args)]
pub(crate) struct SessionArgs {
    /// Name of the operator, which is recorded in the history.
    #[arg(long, env = "LIMPETGW_SUBMITTER", default_value = "operator")]
    pub(crate) submitter: String,
    /// Maximum time to determine the outcome of a write that got no response, in
    /// milliseconds.
    #[arg(long, env = "LIMPETGW_SETTLE_MS", default_value_t = 15_000)]
    pub(crate) settle_ms: u64,
}

impl ConfigArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        match &self.command {
            ConfigCommand::Show { from, operator } => show(from.as_deref(), operator).await,
            ConfigCommand::Diff { file, operator } => diff(file, operator).await,
            ConfigCommand::Submit(command) => command.run().await,
            ConfigCommand::Wait {
                generation,
                wait_ms,
                operator,
            } => wait(*generation, *wait_ms, operator).await,
            ConfigCommand::History { operator } => history(operator).await,
        }
    }
}

impl SubmitCommand {
    async fn run(&self) -> Result<(), CliError> {
        let document = ::console::read_document(&self.file)?;
        let operator = self.operator.client()?;
        let session = match &self.session {
            Some(session) => session.clone(),
            None => ::console::start_session(&operator).await?.session,
        };
        // Printed before the submission: the operator needs the id to repeat it
        // if this process ends early.
        eprintln!("session {session}");
        let args = SubmitArgs {
            session,
            submitter: self.session_args.submitter.clone(),
            settle_time: Duration::from_millis(self.session_args.settle_ms),
        };
        let report = ::console::submit(&operator, document, &args).await?;
        self.operator.print(&report, ::console::submit_text);
        Ok(())
    }
}

async fn show(from: Option<&str>, args: &OperatorArgs) -> Result<(), CliError> {
    let operator = args.client()?;
    let (generation, document) = match from {
        Some(from) => {
            let addr = check_addr("--from", from)?;
            ::console::show_from(&operator, &addr).await?
        }
        None => ::console::show(&operator).await?,
    };
    eprintln!("generation {}", generation.0);
    args.print(&document, |document| {
        // Serializing strings and numbers cannot fail.
        serde_json::to_string_pretty(document).unwrap_or_default()
    });
    Ok(())
}

async fn diff(file: &std::path::Path, args: &OperatorArgs) -> Result<(), CliError> {
    let document = ::console::read_document(file)?;
    let changes = ::console::diff(&args.client()?, &document).await?;
    args.print(&changes, |changes| join_lines(changes));
    Ok(())
}

async fn wait(generation: u64, wait_ms: u64, args: &OperatorArgs) -> Result<(), CliError> {
    let limit = Duration::from_millis(wait_ms);
    let report = ::console::wait(&args.client()?, Generation(generation), limit).await?;
    args.print(&report, |report| {
        format!(
            "generation {} is applied in all {} processes",
            report.generation.0, report.instances
        )
    });
    Ok(())
}

async fn history(args: &OperatorArgs) -> Result<(), CliError> {
    let history = ::console::history(&args.client()?).await?;
    args.print(&history, |history| {
        let lines = history.iter().map(|line| {
            format!(
                "{} {} {} {}",
                line.generation.0, line.submitted_unix_ms, line.submitter, line.session
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    });
    Ok(())
}
