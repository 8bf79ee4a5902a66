//! Submits a document so that it takes effect at most once.

use std::time::{Duration, Instant};

use config::{to_objects, Document, Head, ObjectsError, SessionEntry};
use platform::{Condition, ObjectStore, StoreError};
use types::Generation;

use crate::config_store::{head_key, read_head, write_shards, ReadError, StoredHead};

/// Pause between two tries to settle an unanswered write.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);

/// A document with the state that its session started from.
#[derive(Clone, Debug, bon::Builder)]
pub struct Submission {
    /// The whole document.
    pub document: Document,
    /// Unique id of the operator's session; the same when it is run again.
    pub session: String,
    /// Who submits.
    pub submitter: String,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// The head that the session read; `None` before the first configuration.
    pub base: Option<StoredHead>,
    /// Highest generation known to be in force anywhere: a store that was set
    /// back must not lead to a number that processes have passed already.
    #[builder(default)]
    pub generation_floor: Generation,
    /// How long an unanswered write is tried to be settled.
    #[builder(default = Duration::from_secs(15))]
    pub settle_time: Duration,
}

/// A submission took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// Generation that it became.
    pub generation: Generation,
    /// Whether an earlier run of the same session had submitted it.
    pub by_earlier_run: bool,
}

/// A submission did not take effect, or it is not known whether it did.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The document can't be stored.
    #[error(transparent)]
    Document(#[from] ObjectsError),
    /// Another session was first; this one took no effect and never will.
    #[error("{}", lost(.0))]
    Lost(Box<Head>),
    /// The store failed before the configuration could change.
    #[error("nothing changed: {0}")]
    NotSubmitted(ReadError),
    /// The store did not answer: the document may be in force.
    #[error(
        "it can't be known yet whether session {session} took effect ({reason}); \
         once the store answers, `limpetgw config history` lists the session if it did, \
         and running it again with `--session {session}` never applies it twice"
    )]
    Unknown {
        /// The session.
        session: String,
        /// The store's word.
        reason: String,
    },
}

fn lost(head: &Head) -> String {
    let generation = head.generation.0;
    match head.last_session() {
        Some(SessionEntry {
            session, submitter, ..
        }) => format!(
            "nothing changed: {submitter} was first with session {session}, \
             generation {generation} is in force"
        ),
        None => format!("nothing changed: generation {generation} is in force"),
    }
}

/// Submits a document.
///
/// # Errors
///
/// [`SubmitError`], which says whether the document may be in force.
pub async fn submit(
    store: &dyn ObjectStore,
    submission: &Submission,
) -> Result<Submitted, SubmitError> {
    let objects = to_objects(&submission.document)?;
    let current = read_head(store).await.map_err(SubmitError::NotSubmitted)?;
    if let Some(submitted) = earlier_run(current.as_ref(), submission) {
        return Ok(submitted);
    }
    refuse_if_moved(current, submission)?;
    let base = submission.base.as_ref();
    write_shards(store, &objects.shards, base.map(|stored| &stored.head))
        .await
        .map_err(|error| SubmitError::NotSubmitted(error.into()))?;
    let head = Head::next(
        base.map(|stored| &stored.head),
        submission.generation_floor,
        SessionEntry {
            session: submission.session.clone(),
            submitter: submission.submitter.clone(),
            generation: Generation::default(),
            submitted_unix_ms: submission.submitted_unix_ms,
        },
        objects.parts,
    );
    write_head(store, submission, &head).await
}

/// Writes the head, and settles lost answers: the same conditional write is
/// repeated until it is answered. Only one of the repeats can take effect.
async fn write_head(
    store: &dyn ObjectStore,
    submission: &Submission,
    head: &Head,
) -> Result<Submitted, SubmitError> {
    let condition = match &submission.base {
        Some(stored) => Condition::Version(stored.version),
        None => Condition::Absent,
    };
    let value = head.to_value();
    let give_up = Instant::now() + submission.settle_time;
    let mut unsure: Option<String> = None;
    loop {
        let reason = match store.put(&head_key(), &value, condition).await {
            Ok(_) => {
                return Ok(Submitted {
                    generation: head.generation,
                    by_earlier_run: false,
                })
            }
            Err(StoreError::Conflict) => match settle_conflict(store, submission, &unsure).await {
                Ok(submitted) => return Ok(submitted),
                Err(SubmitError::Unknown { reason, .. }) => reason,
                Err(error) => return Err(error),
            },
            Err(StoreError::Unsure(reason)) => reason,
            // Refused: this try had no effect, but an earlier one may have had.
            Err(error) if unsure.is_none() => {
                return Err(SubmitError::NotSubmitted(error.into()));
            }
            Err(error) => error.to_string(),
        };
        if Instant::now() >= give_up {
            let session = submission.session.clone();
            return Err(SubmitError::Unknown { session, reason });
        }
        unsure = Some(reason);
        smol::Timer::after(SETTLE_INTERVAL).await;
    }
}

/// Finds out after a conflict whether the own write made it.
async fn settle_conflict(
    store: &dyn ObjectStore,
    submission: &Submission,
    unsure: &Option<String>,
) -> Result<Submitted, SubmitError> {
    let unknown = |reason: String| SubmitError::Unknown {
        session: submission.session.clone(),
        reason,
    };
    let current = read_head(store)
        .await
        .map_err(|error| unknown(error.to_string()))?;
    if let Some(mut submitted) = earlier_run(current.as_ref(), submission) {
        submitted.by_earlier_run = unsure.is_none();
        return Ok(submitted);
    }
    refuse_if_moved(current, submission)?;
    // The store said conflict, yet shows the version of the condition.
    Err(unknown("the store contradicts itself".into()))
}

fn earlier_run(current: Option<&StoredHead>, submission: &Submission) -> Option<Submitted> {
    let generation = current?.head.generation_of(&submission.session)?;
    Some(Submitted {
        generation,
        by_earlier_run: true,
    })
}

fn refuse_if_moved(
    current: Option<StoredHead>,
    submission: &Submission,
) -> Result<(), SubmitError> {
    let base_version = submission.base.as_ref().map(|stored| stored.version);
    match current {
        Some(current) if Some(current.version) != base_version => {
            Err(SubmitError::Lost(Box::new(current.head)))
        }
        None if base_version.is_some() => Err(SubmitError::NotSubmitted(ReadError::Head(
            "it was there when the session began and is gone".into(),
        ))),
        _ => Ok(()),
    }
}
