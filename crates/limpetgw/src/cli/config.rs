//! `limpetgw config`.

use std::{path::PathBuf, time::Duration};

use ::console::SubmitArgs;
use clap::{Args, Subcommand};
use shared_state::SessionId;
use types::Generation;

use super::{
    common::checked_addr,
    operator::{lines, OperatorArgs},
    CliError,
};

/// Shows, compares, submits and follows configurations.
#[derive(Debug, Args)]
pub(crate) struct ConfigArgs {
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// Print the document in force.
    Show {
        /// Internal address (IP:port) of an entry or agent to ask instead of
        /// the store.
        #[arg(long, env = "LIMPETGW_FROM")]
        from: Option<String>,
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// Print what a document would change.
    Diff {
        /// File with the document.
        file: PathBuf,
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// Check a document and put it into force.
    Submit(SubmitCommand),
    /// Wait until a generation is in force in every listed process.
    Wait {
        /// The generation.
        generation: u64,
        /// Longest wait, in milliseconds.
        #[arg(long, env = "LIMPETGW_WAIT_MS", default_value_t = 30_000)]
        wait_ms: u64,
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// List the last submissions.
    History {
        #[command(flatten)]
        operator: OperatorArgs,
    },
}

/// Settings of `limpetgw config submit`.
#[derive(Debug, Args)]
pub(crate) struct SubmitCommand {
    /// File with the document.
    file: PathBuf,
    /// Id of the session; give the printed one again to repeat a submission
    /// whose outcome is not known. Without one, a session begins that may
    /// replace the generation stored now, and no other.
    #[arg(long, env = "LIMPETGW_SESSION", value_parser = SessionId::parse)]
    session: Option<SessionId>,
    #[command(flatten)]
    session_args: SessionArgs,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// Settings of whatever submits a document.
#[derive(Debug, Args)]
pub(crate) struct SessionArgs {
    /// Name of the operator, as the history shows it.
    #[arg(long, env = "LIMPETGW_SUBMITTER", default_value = "operator")]
    pub(crate) submitter: String,
    /// How long an unanswered write is tried to be settled, in milliseconds.
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
        let operator = self.operator.operator()?;
        let session = match &self.session {
            Some(session) => session.clone(),
            None => ::console::start_session(&operator).await?.session,
        };
        // Printed first: it is needed when this process ends half-way.
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
    let operator = args.operator()?;
    let (generation, document) = match from {
        Some(from) => {
            let addr = checked_addr("--from", from)?;
            ::console::show_from(&operator, &addr).await?
        }
        None => ::console::show(&operator).await?,
    };
    eprintln!("generation {}", generation.0);
    args.print(&document, |document| {
        // Plain data: serialization can't fail.
        serde_json::to_string_pretty(document).unwrap_or_default()
    });
    Ok(())
}

async fn diff(file: &std::path::Path, args: &OperatorArgs) -> Result<(), CliError> {
    let document = ::console::read_document(file)?;
    let changes = ::console::diff(&args.operator()?, &document).await?;
    args.print(&changes, |changes| lines(changes));
    Ok(())
}

async fn wait(generation: u64, wait_ms: u64, args: &OperatorArgs) -> Result<(), CliError> {
    let limit = Duration::from_millis(wait_ms);
    let report = ::console::wait(&args.operator()?, Generation(generation), limit).await?;
    args.print(&report, |report| {
        format!(
            "generation {} is in force in all {} processes",
            report.generation.0, report.instances
        )
    });
    Ok(())
}

async fn history(args: &OperatorArgs) -> Result<(), CliError> {
    let history = ::console::history(&args.operator()?).await?;
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
