//! Operator commands that submit, show and compare configurations.

use std::{
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use config::{Document, Issue, SessionEntry};
use rpc::methods::{GetConfig, GetConfigParams};
use serde::{Deserialize, Serialize};
use shared_state::{
    parse_head, read_head, AppliedConfig, ReadError, SessionId, StoredHead, Submission, SubmitError,
};
use telemetry::events::OperatorEvent;
use types::Generation;

use crate::{
    difference::{difference, Change},
    fleet::{generation_floor, status, FleetStatus},
    OperatorClient, OperatorError,
};

/// Timeout of a call that fetches the configuration of one process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two status queries while waiting for a generation.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);

/// Parameters of a submission.
#[derive(Clone, Debug)]
pub struct SubmitArgs {
    /// Session of the submission; a repeated submission uses the same session.
    pub session: SessionId,
    /// Name of the operator, recorded in the history.
    pub submitter: String,
    /// Maximum time to determine the outcome of a write that got no response.
    pub settle_time: Duration,
}

/// Result of a successful submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReport {
    /// Generation that was assigned to the document.
    pub generation: Generation,
    /// Id of the session.
    pub session: String,
    /// Whether an earlier run of the same session had already submitted the
    /// document.
    pub by_earlier_run: bool,
    /// Changes relative to the previously stored document.
    pub changes: Vec<Change>,
    /// Warnings about settings that are valid but probably unintended.
    pub warnings: Vec<Issue>,
}

/// A submission recorded in the head.
pub type HistoryLine = SessionEntry;

/// Result of waiting until a generation is applied in all processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// Generation that was waited for.
    pub generation: Generation,
    /// Number of processes, all of which have applied the generation.
    pub instances: usize,
    /// Time waited, in milliseconds.
    pub waited_ms: u64,
}

/// Reads a document from a file and validates it.
///
/// # Errors
///
/// [`OperatorError`] if the file cannot be read or the document is invalid.
pub fn read_document(path: &Path) -> Result<Document, OperatorError> {
    let text = std::fs::read_to_string(path).map_err(|error| OperatorError::File {
        path: path.display().to_string(),
        reason: error.to_string(),
    })?;
    Ok(Document::parse(&text)?)
}

/// A new session and the document that it is based on.
#[derive(Clone, Debug)]
pub struct StartedSession {
    /// Id of the session.
    pub session: SessionId,
    /// Stored document; empty if no document has been submitted yet.
    pub document: Document,
}

/// Starts a session based on the generation that is currently stored.
///
/// # Errors
///
/// [`OperatorError`] if the store cannot be read.
pub async fn start_session(operator: &OperatorClient) -> Result<StartedSession, OperatorError> {
    let stored = read_head(&*operator.store)
        .await
        .map_err(SubmitError::NotSubmitted)?;
    let (base, document) = match stored {
        Some(stored) => {
            let document = operator.document_of(&stored.head).await?;
            (stored.head.generation, document)
        }
        None => (Generation(0), Document::default()),
    };
    Ok(StartedSession {
        session: SessionId::new(base, rand::random()),
        document,
    })
}

/// Submits a document if the generation that the session is based on is still
/// the stored one.
///
/// # Errors
///
/// [`OperatorError`]. Its exit code shows whether the document may have been
/// stored.
pub async fn submit(
    operator: &OperatorClient,
    document: Document,
    args: &SubmitArgs,
) -> Result<SubmitReport, OperatorError> {
    document.validate()?;
    let before = stored_document(operator).await?;
    let changes = difference(&before, &document);
    let warnings = document.warnings();
    let submission = Submission::builder()
        .document(document)
        .session(args.session.clone())
        .submitter(args.submitter.clone())
        .submitted_unix_ms(unix_ms())
        .generation_floor(generation_floor(operator).await)
        .settle_time(args.settle_time)
        .build();
    let submitted = match shared_state::submit(&*operator.store, &submission).await {
        Ok(submitted) => submitted,
        Err(error) => return Err(with_changes(operator, &submission.document, error).await),
    };
    telemetry::emit(&OperatorEvent::DocumentSubmitted {
        generation: submitted.generation,
        session: args.session.to_string(),
    });
    Ok(SubmitReport {
        generation: submitted.generation,
        session: args.session.to_string(),
        by_earlier_run: submitted.by_earlier_run,
        changes,
        warnings,
    })
}

/// Formats the result of a submission for a terminal.
pub fn submit_text(report: &SubmitReport) -> String {
    let mut lines: Vec<String> = report.changes.iter().map(Change::to_string).collect();
    let warnings = report.warnings.iter();
    lines.extend(warnings.map(|warning| format!("warning: {warning}")));
    let generation = report.generation.0;
    lines.push(match report.by_earlier_run {
        true => format!("an earlier run of this session submitted generation {generation}"),
        false => format!("generation {generation} is submitted"),
    });
    lines.join("\n")
}

/// Returns the stored document and its generation.
///
/// # Errors
///
/// [`OperatorError`] if no document is stored or it cannot be read.
pub async fn show(operator: &OperatorClient) -> Result<(Generation, Document), OperatorError> {
    let stored = stored_head(operator).await?;
    let document = operator.document_of(&stored.head).await?;
    Ok((stored.head.generation, document))
}

/// Returns the document and generation applied in the process at `addr`
/// (`IP:port`). This works while the store is down or has lost its data.
///
/// # Errors
///
/// [`OperatorError`] if the process does not respond or has no configuration.
pub async fn show_from(
    operator: &OperatorClient,
    addr: &str,
) -> Result<(Generation, Document), OperatorError> {
    let params = GetConfigParams {
        above: Generation(0),
        known_shards: Vec::new(),
    };
    let response = operator
        .peers
        .call::<GetConfig>(addr, Generation(0), params, CALL_TIMEOUT)
        .await
        .map_err(|error| OperatorError::Call {
            instance: addr.to_string(),
            error,
        })?;
    let bundle = response.answer.ok_or(OperatorError::NoConfiguration)?;
    let head = parse_head(&bundle.head)?;
    let no_configuration = AppliedConfig::default();
    let shards = no_configuration.merge_shards(&head, bundle);
    let applied = AppliedConfig::new(head, shards, &no_configuration).map_err(ReadError::from)?;
    Ok((applied.generation(), applied.snapshot.document.clone()))
}

/// Returns the changes of a document relative to the stored one.
///
/// # Errors
///
/// [`OperatorError`] if the stored document cannot be read.
pub async fn diff(
    operator: &OperatorClient,
    document: &Document,
) -> Result<Vec<Change>, OperatorError> {
    let before = stored_document(operator).await?;
    Ok(difference(&before, document))
}

/// Returns the last submissions, oldest first.
///
/// # Errors
///
/// [`OperatorError`] if nothing has been submitted or the head cannot be read.
pub async fn history(operator: &OperatorClient) -> Result<Vec<HistoryLine>, OperatorError> {
    Ok(stored_head(operator).await?.head.sessions)
}

/// Waits until every listed process has applied a generation.
///
/// # Errors
///
/// [`OperatorError::WaitTimeout`] if some processes have not applied it within
/// `limit`. The list of processes is queried at least once.
pub async fn wait(
    operator: &OperatorClient,
    generation: Generation,
    limit: Duration,
) -> Result<WaitReport, OperatorError> {
    let start = Instant::now();
    loop {
        let fleet = status(operator).await;
        let is_last = start.elapsed() >= limit;
        let lagging_instances = match &fleet {
            Ok(fleet) => lagging_instances(fleet, generation),
            Err(_) => vec!["the instance list".to_string()],
        };
        match fleet {
            Ok(fleet) if lagging_instances.is_empty() => {
                return Ok(WaitReport {
                    generation,
                    instances: fleet.instances.len(),
                    waited_ms: u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
                });
            }
            Err(error) if is_last => return Err(error),
            _ if is_last => {
                return Err(OperatorError::WaitTimeout {
                    generation: generation.0,
                    lagging_instances: lagging_instances.join(", "),
                });
            }
            _ => {}
        }
        smol::Timer::after(WAIT_INTERVAL).await;
    }
}

fn lagging_instances(fleet: &FleetStatus, generation: Generation) -> Vec<String> {
    if fleet.instances.is_empty() {
        return vec!["any process: the instance list is empty".to_string()];
    }
    let reports = fleet.instances.iter().filter(|report| {
        report
            .generation()
            .is_none_or(|applied| applied < generation)
    });
    reports
        .map(|report| match report.generation() {
            Some(applied) => format!("{} (generation {})", report.instance, applied.0),
            None => format!("{} (no response)", report.instance),
        })
        .collect()
}

/// If `error` is a conflict with a concurrent submission, adds the changes from
/// the document of that submission to `document`. Other errors are returned as
/// they are, and so is a conflict if the other document cannot be read.
async fn with_changes(
    operator: &OperatorClient,
    document: &Document,
    error: SubmitError,
) -> OperatorError {
    let SubmitError::Conflict(head) = &error else {
        return error.into();
    };
    let Ok(winner) = operator.document_of(head).await else {
        return error.into();
    };
    let changes: Vec<String> = difference(&winner, document)
        .iter()
        .map(Change::to_string)
        .collect();
    let changes = changes.join("\n");
    OperatorError::Conflict { error, changes }
}

/// Returns the stored document; empty if none has been submitted yet.
async fn stored_document(operator: &OperatorClient) -> Result<Document, OperatorError> {
    let stored = read_head(&*operator.store)
        .await
        .map_err(SubmitError::NotSubmitted)?;
    match stored {
        Some(stored) => operator.document_of(&stored.head).await,
        None => Ok(Document::default()),
    }
}

async fn stored_head(operator: &OperatorClient) -> Result<StoredHead, OperatorError> {
    read_head(&*operator.store)
        .await?
        .ok_or(OperatorError::NoConfiguration)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
