//! Submits a configuration document so that it takes effect at most once, even
//! if responses of the store are lost or the command is run again.

use std::time::{Duration, Instant};

use config::{split_document, Document, Head, SessionEntry, ShardError};
use store::{Condition, ObjectStore, StoreError};
use types::Generation;

use crate::{
    config_store::{head_key, read_head, write_shards, ReadError, StoredHead},
    session::SessionId,
};

/// A document to submit, with the session that it belongs to.
#[derive(Clone, Debug, bon::Builder)]
pub struct Submission {
    /// The complete document, which replaces the one in force.
    pub document: Document,
    /// The operator's session; the same in a repeated run. Its base generation
    /// is the only one that the document may replace.
    pub session: SessionId,
    /// Name of the operator, as recorded in the head's history.
    pub submitter: String,
    /// Time of the submission, in milliseconds since the Unix epoch, as recorded
    /// in the head's history.
    pub submitted_unix_ms: u64,
    /// Highest generation known to be in force in any process. The new
    /// generation is above it: after the store was restored to an older state,
    /// processes would ignore a lower one.
    #[builder(default)]
    pub generation_floor: Generation,
    /// How long the write of the head is repeated while its outcome is unknown.
    /// Default: 15 s.
    #[builder(default = Duration::from_secs(15))]
    pub settle_time: Duration,
    /// Delay between two such repetitions. Default: 300 ms.
    #[builder(default = Duration::from_millis(300))]
    pub settle_interval: Duration,
}

/// Result of a submission that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// Generation of the submitted configuration.
    pub generation: Generation,
    /// Whether it was submitted by an earlier run of the same session.
    pub by_earlier_run: bool,
}

/// Error of a submission that did not take effect, or whose effect is not known.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The document can't be converted to store objects; nothing changed.
    #[error(transparent)]
    Document(#[from] ShardError),
    /// Another session replaced the base generation first; this session took no
    /// effect and never will. Holds the head in force.
    #[error("{}", conflict_message(.0))]
    Conflict(Box<Head>),
    /// The store failed or its head object is missing or invalid; this run did not
    /// change the configuration.
    #[error("nothing changed: {0}")]
    NotSubmitted(ReadError),
    /// The session is older than the history in the head, which therefore does
    /// not show whether an earlier run took effect.
    #[error(
        "nothing changed by this run: session {session} began before the oldest recorded session, \
         and generation {generation} is in force; start a new session from it"
    )]
    SessionExpired {
        /// The session that was submitted.
        session: SessionId,
        /// Generation in force.
        generation: u64,
    },
    /// The store did not respond to the write of the head, so the document may
    /// be in force.
    #[error(
        "it can't be known yet whether session {session} took effect ({reason}); \
         once the store answers, `limpetgw config history` lists the session if it did, \
         and running it again with `--session {session}` never applies it twice"
    )]
    OutcomeUnknown {
        /// The session that was submitted.
        session: SessionId,
        /// Error text of the last call to the store.
        reason: String,
    },
}

fn conflict_message(head: &Head) -> String {
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

/// Submits a document: writes its shards, then replaces the head with a
/// conditional write.
///
/// # Errors
///
/// Returns [`SubmitError`], whose variant shows whether the document may be in
/// force.
pub async fn submit(
    store: &dyn ObjectStore,
    submission: &Submission,
) -> Result<Submitted, SubmitError> {
    let objects = split_document(&submission.document)?;
    let current = read_head(store).await.map_err(SubmitError::NotSubmitted)?;
    if let Some(submitted) = find_earlier_run(current.as_ref(), submission) {
        return Ok(submitted);
    }
    check_base_generation(current.as_ref(), submission)?;
    let base = current.as_ref();
    write_shards(store, &objects.shards, base.map(|stored| &stored.head))
        .await
        .map_err(|error| SubmitError::NotSubmitted(error.into()))?;
    let head = Head::next(
        base.map(|stored| &stored.head),
        submission.generation_floor,
        SessionEntry {
            session: submission.session.to_string(),
            submitter: submission.submitter.clone(),
            generation: Generation::default(),
            submitted_unix_ms: submission.submitted_unix_ms,
        },
        objects.parts,
    );
    let condition = base.map_or(Condition::Absent, |stored| {
        Condition::Version(stored.version)
    });
    write_head(store, submission, &head, condition).await
}

/// Writes the head. While the outcome of the conditional write is unknown, it is
/// repeated until `settle_time` has passed; at most one repetition can take
/// effect.
async fn write_head(
    store: &dyn ObjectStore,
    submission: &Submission,
    head: &Head,
    condition: Condition,
) -> Result<Submitted, SubmitError> {
    let value = head.to_value();
    let deadline = Instant::now() + submission.settle_time;
    let mut outcome_unknown = false;
    loop {
        let reason = match store.put(&head_key(), &value, condition).await {
            Ok(_) => {
                return Ok(Submitted {
                    generation: head.generation,
                    by_earlier_run: false,
                })
            }
            Err(StoreError::Conflict) => {
                match check_conflict(store, submission, outcome_unknown).await? {
                    ConflictCheck::Submitted(submitted) => return Ok(submitted),
                    ConflictCheck::Unresolved(reason) => reason,
                }
            }
            // This write had no effect, but an earlier one may have had.
            Err(error @ StoreError::Refused(_)) if outcome_unknown => error.to_string(),
            Err(StoreError::OutcomeUnknown(reason)) => {
                outcome_unknown = true;
                reason
            }
            Err(error) => return Err(SubmitError::NotSubmitted(error.into())),
        };
        if Instant::now() >= deadline {
            let session = submission.session.clone();
            return Err(SubmitError::OutcomeUnknown { session, reason });
        }
        smol::Timer::after(submission.settle_interval).await;
    }
}

/// Result of reading the head after a conflict.
enum ConflictCheck {
    /// The head contains the session.
    Submitted(Submitted),
    /// The write has to be repeated, for this reason.
    Unresolved(String),
}

/// Checks after a conflict whether it was caused by an earlier write of this
/// session. `outcome_unknown` means that this run made a write whose outcome is
/// unknown.
async fn check_conflict(
    store: &dyn ObjectStore,
    submission: &Submission,
    outcome_unknown: bool,
) -> Result<ConflictCheck, SubmitError> {
    let current = match read_head(store).await {
        Ok(current) => current,
        Err(error) => return Ok(ConflictCheck::Unresolved(error.to_string())),
    };
    if let Some(mut submitted) = find_earlier_run(current.as_ref(), submission) {
        submitted.by_earlier_run = !outcome_unknown;
        return Ok(ConflictCheck::Submitted(submitted));
    }
    check_base_generation(current.as_ref(), submission)?;
    // The store reported a conflict but still returns the head that the session
    // started from.
    Ok(ConflictCheck::Unresolved(
        "the store reported a conflict, but the head is unchanged".into(),
    ))
}

/// Returns the result of the session if the head's history contains it.
fn find_earlier_run(current: Option<&StoredHead>, submission: &Submission) -> Option<Submitted> {
    let generation = current?.head.generation_of(submission.session.as_str())?;
    Some(Submitted {
        generation,
        by_earlier_run: true,
    })
}

/// Fails unless the stored generation is the one that the session began with.
/// A session can therefore never take effect twice, however late it is run
/// again.
fn check_base_generation(
    current: Option<&StoredHead>,
    submission: &Submission,
) -> Result<(), SubmitError> {
    let base = submission.session.base();
    let Some(StoredHead { head, .. }) = current else {
        return match base {
            Generation(0) => Ok(()),
            _ => Err(SubmitError::NotSubmitted(ReadError::Head(
                "missing, although it existed when the session began".into(),
            ))),
        };
    };
    if head.generation == base {
        return Ok(());
    }
    let history_covers_base = head
        .sessions
        .first()
        .is_some_and(|oldest| oldest.generation.0 <= base.0 + 1);
    if history_covers_base || head.generation < base {
        return Err(SubmitError::Conflict(Box::new(head.clone())));
    }
    Err(SubmitError::SessionExpired {
        session: submission.session.clone(),
        generation: head.generation.0,
    })
}
