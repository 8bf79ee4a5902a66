//! Submitting, showing and comparing configurations.

use std::{
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use config::{Document, Issue, SessionEntry};
use rpc::methods::{GetConfig, GetConfigParams};
use serde::{Deserialize, Serialize};
use shared_state::{
    parse_head, read_head, Applied, ReadError, SessionId, StoredHead, Submission, SubmitError,
};
use telemetry::events::OperatorEvent;
use types::Generation;

use crate::{
    difference::{difference, Change},
    fleet::{generation_floor, status, FleetStatus},
    Operator, OperatorError,
};

/// Longest wait for one process's configuration.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two rounds of asking the fleet.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);

/// How a document is submitted.
#[derive(Clone, Debug)]
pub struct SubmitArgs {
    /// The session; the same when it is run again.
    pub session: SessionId,
    /// Who submits.
    pub submitter: String,
    /// How long an unanswered write is tried to be settled.
    pub settle_time: Duration,
}

/// What a submission did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReport {
    /// Generation that the document became.
    pub generation: Generation,
    /// The session.
    pub session: String,
    /// Whether an earlier run of the same session had submitted it.
    pub by_earlier_run: bool,
    /// What changed against the document before.
    pub changes: Vec<Change>,
    /// What is allowed but probably not meant.
    pub warnings: Vec<Issue>,
}

/// A submission of the past.
pub type HistoryLine = SessionEntry;

/// A generation is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// The generation waited for.
    pub generation: Generation,
    /// Processes that have it in force.
    pub instances: usize,
    /// Time waited, in milliseconds.
    pub waited_ms: u64,
}

/// Reads and checks a document from a file.
///
/// # Errors
///
/// [`OperatorError`] when it can't be read, or with every error in it.
pub fn read_document(path: &Path) -> Result<Document, OperatorError> {
    let text = std::fs::read_to_string(path).map_err(|error| OperatorError::File {
        path: path.display().to_string(),
        reason: error.to_string(),
    })?;
    Ok(Document::parse(&text)?)
}

/// A session that has begun, with the document that it began with.
#[derive(Clone, Debug)]
pub struct StartedSession {
    /// The session.
    pub session: SessionId,
    /// The document that was stored, an empty one before the first.
    pub document: Document,
}

/// Begins a session at the generation that is stored now.
///
/// # Errors
///
/// [`OperatorError`] when the store can't be read.
pub async fn start_session(operator: &Operator) -> Result<StartedSession, OperatorError> {
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

/// Submits a document, if the generation that the session began with is still
/// in force.
///
/// # Errors
///
/// [`OperatorError`], whose exit code says whether it may be in force.
pub async fn submit(
    operator: &Operator,
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
        Err(error) => return Err(explain(operator, &submission.document, error).await),
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

/// A submission's report for a terminal.
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

/// The document in force in the store, with its generation.
///
/// # Errors
///
/// [`OperatorError`] when there is none or it can't be read.
pub async fn show(operator: &Operator) -> Result<(Generation, Document), OperatorError> {
    let stored = stored_head(operator).await?;
    let document = operator.document_of(&stored.head).await?;
    Ok((stored.head.generation, document))
}

/// The document in force in the process at `addr` (`IP:port`), for when the
/// store has lost it or is down.
///
/// # Errors
///
/// [`OperatorError`] when the process does not answer or has none.
pub async fn show_from(
    operator: &Operator,
    addr: &str,
) -> Result<(Generation, Document), OperatorError> {
    let params = GetConfigParams {
        above: Generation(0),
        known_shards: Vec::new(),
    };
    let answered = operator
        .peers
        .call::<GetConfig>(addr, Generation(0), params, CALL_TIMEOUT)
        .await
        .map_err(|error| OperatorError::Call {
            instance: addr.to_string(),
            error,
        })?;
    let bundle = answered.answer.ok_or(OperatorError::NoConfiguration)?;
    let head = parse_head(&bundle.head)?;
    let none = Applied::default();
    let shards = none.join(&head, bundle);
    let applied = Applied::new(head, shards, &none).map_err(ReadError::from)?;
    Ok((applied.generation(), applied.snapshot.document.clone()))
}

/// What a document would change.
///
/// # Errors
///
/// [`OperatorError`] when the stored one can't be read.
pub async fn diff(operator: &Operator, document: &Document) -> Result<Vec<Change>, OperatorError> {
    let before = stored_document(operator).await?;
    Ok(difference(&before, document))
}

/// The last submissions, oldest first.
///
/// # Errors
///
/// [`OperatorError`] when there are none or the head can't be read.
pub async fn history(operator: &Operator) -> Result<Vec<HistoryLine>, OperatorError> {
    Ok(stored_head(operator).await?.head.sessions)
}

/// Waits until a generation is in force in every listed process.
///
/// # Errors
///
/// [`OperatorError::NotEverywhere`] names the stragglers at the time limit.
pub async fn wait(
    operator: &Operator,
    generation: Generation,
    limit: Duration,
) -> Result<WaitReport, OperatorError> {
    let start = Instant::now();
    loop {
        let fleet = status(operator).await;
        let is_last = start.elapsed() >= limit;
        let stragglers = match &fleet {
            Ok(fleet) => stragglers(fleet, generation),
            Err(_) => vec!["the instance list".to_string()],
        };
        match fleet {
            Ok(fleet) if stragglers.is_empty() => {
                return Ok(WaitReport {
                    generation,
                    instances: fleet.instances.len(),
                    waited_ms: u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
                });
            }
            Err(error) if is_last => return Err(error),
            _ if is_last => {
                return Err(OperatorError::NotEverywhere {
                    generation: generation.0,
                    stragglers: stragglers.join(", "),
                });
            }
            _ => {}
        }
        smol::Timer::after(WAIT_INTERVAL).await;
    }
}

fn stragglers(fleet: &FleetStatus, generation: Generation) -> Vec<String> {
    if fleet.instances.is_empty() {
        return vec!["any process: the instance list is empty".to_string()];
    }
    let behind = fleet
        .instances
        .iter()
        .filter(|one| one.generation().is_none_or(|own| own < generation));
    behind
        .map(|one| match one.generation() {
            Some(own) => format!("{} (generation {})", one.instance, own.0),
            None => format!("{} (no answer)", one.instance),
        })
        .collect()
}

/// Adds to the error of a lost race what the own document would change in
/// the winner's.
async fn explain(operator: &Operator, own: &Document, error: SubmitError) -> OperatorError {
    let SubmitError::Lost(head) = &error else {
        return error.into();
    };
    let Ok(winner) = operator.document_of(head).await else {
        return error.into();
    };
    let changes: Vec<String> = difference(&winner, own)
        .iter()
        .map(Change::to_string)
        .collect();
    let changes = changes.join("\n");
    OperatorError::Lost { error, changes }
}

/// The stored document, an empty one before the first.
async fn stored_document(operator: &Operator) -> Result<Document, OperatorError> {
    let stored = read_head(&*operator.store)
        .await
        .map_err(SubmitError::NotSubmitted)?;
    match stored {
        Some(stored) => operator.document_of(&stored.head).await,
        None => Ok(Document::default()),
    }
}

async fn stored_head(operator: &Operator) -> Result<StoredHead, OperatorError> {
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
