//! The command `limpetgw console`, which edits the configuration with forms.

use std::{path::PathBuf, time::Duration};

use ::config::Document;
use ::console::{
    run_form_session, start_session, submit, submit_text, FileAnswers, FormSession, NewKey,
    OperatorError, SubmitArgs, TerminalAnswers,
};
use clap::Args;

use super::{config::SessionArgs, operator::OperatorArgs, CliError};

/// Arguments of `limpetgw console`.
#[derive(Debug, Args)]
pub(crate) struct ConsoleArgs {
    /// File with the answers (JSON), for scripts; without it, the questions are
    /// asked on the terminal.
    #[arg(long, env = "LIMPETGW_ANSWERS")]
    answers: Option<PathBuf>,
    /// Print the document without submitting it.
    #[arg(long)]
    print: bool,
    #[command(flatten)]
    session_args: SessionArgs,
    #[command(flatten)]
    operator: OperatorArgs,
}

impl ConsoleArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        let operator = self.operator.client()?;
        let started = start_session(&operator).await?;
        let session = started.session;
        eprintln!("session {session}");
        let mut forms = FormSession::new(started.document);
        let Some(document) = self.run_forms(&mut forms)? else {
            eprintln!("session aborted; the configuration is unchanged");
            return Ok(());
        };
        if self.print {
            // Serializing strings and numbers cannot fail.
            println!(
                "{}",
                serde_json::to_string_pretty(&document).unwrap_or_default()
            );
            return Ok(());
        }
        let args = SubmitArgs {
            session,
            submitter: self.session_args.submitter.clone(),
            settle_time: Duration::from_millis(self.session_args.settle_ms),
        };
        let report = submit(&operator, document, &args).await?;
        self.operator.print(&report, submit_text);
        Ok(())
    }

    fn run_forms(&self, forms: &mut FormSession) -> Result<Option<Document>, OperatorError> {
        let Some(path) = &self.answers else {
            return Ok(run_form_session(
                forms,
                &mut TerminalAnswers,
                NewKey::random,
            )?);
        };
        let text = std::fs::read_to_string(path).map_err(|error| OperatorError::File {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        let mut answers = FileAnswers::parse(&text)?;
        let document = run_form_session(forms, &mut answers, NewKey::random)?;
        answers.finish()?;
        Ok(document)
    }
}
