//! Submits a document so that it takes effect at most once.

use std::time::{Duration, Instant};

use config::{split_document, Document, Head, SessionEntry, ShardError};
use store::{Condition, ObjectStore, StoreError};
use types::Generation;

use crate::{
    config_store::{head_key, read_head, write_shards, ReadError, StoredHead},
    session::SessionId,
};

/// A document with the state that its session started from.
#[derive(Clone, Debug, bon::Builder)]
pub struct Submission {
    /// The whole document.
    pub document: Document,
    /// The operator's session; the same when it is run again.
    pub session: SessionId,
    /// Who submits.
    pub submitter: String,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Highest generation known to be in force anywhere: a store that was set
    /// back must not lead to a number that processes have passed already.
    #[builder(default)]
    pub generation_floor: Generation,
    /// How long an unanswered write is tried to be settled.
    #[builder(default = Duration::from_secs(15))]
    pub settle_time: Duration,
    /// Pause between two tries to settle an unanswered write.
    #[builder(default = Duration::from_millis(300))]
    pub settle_interval: Duration,
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
    Document(#[from] ShardError),
    /// Another session was first; this one took no effect and never will.
    #[error("{}", lost(.0))]
    Lost(Box<Head>),
    /// The store failed before the configuration could change.
    #[error("nothing changed: {0}")]
    NotSubmitted(ReadError),
    /// The session began so long ago that the head no longer tells whether an
    /// earlier run took effect.
    #[error(
        "nothing changed by this run: session {session} began before the remembered history, \
         and generation {generation} is in force; start a new session from it"
    )]
    Forgotten {
        /// The session.
        session: SessionId,
        /// Generation in force.
        generation: u64,
    },
    /// The store did not answer: the document may be in force.
    #[error(
        "it can't be known yet whether session {session} took effect ({reason}); \
         once the store answers, `limpetgw config history` lists the session if it did, \
         and running it again with `--session {session}` never applies it twice"
    )]
    Unknown {
        /// The session.
        session: SessionId,
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
    let objects = split_document(&submission.document)?;
    let current = read_head(store).await.map_err(SubmitError::NotSubmitted)?;
    if let Some(submitted) = earlier_run(current.as_ref(), submission) {
        return Ok(submitted);
    }
    refuse_if_moved(current.as_ref(), submission)?;
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

/// Writes the head, and settles lost answers: the same conditional write is
/// repeated until it is answered. Only one of the repeats can take effect.
async fn write_head(
    store: &dyn ObjectStore,
    submission: &Submission,
    head: &Head,
    condition: Condition,
) -> Result<Submitted, SubmitError> {
    let value = head.to_value();
    let give_up = Instant::now() + submission.settle_time;
    let mut unsure = false;
    loop {
        let reason = match store.put(&head_key(), &value, condition).await {
            Ok(_) => {
                return Ok(Submitted {
                    generation: head.generation,
                    by_earlier_run: false,
                })
            }
            Err(StoreError::Conflict) => match settle_conflict(store, submission, unsure).await? {
                Settled::Submitted(submitted) => return Ok(submitted),
                Settled::NotYet(reason) => reason,
            },
            // Refused: this try had no effect, but an earlier one may have had.
            Err(error @ StoreError::Refused(_)) if unsure => error.to_string(),
            Err(StoreError::OutcomeUnknown(reason)) => {
                unsure = true;
                reason
            }
            Err(error) => return Err(SubmitError::NotSubmitted(error.into())),
        };
        if Instant::now() >= give_up {
            let session = submission.session.clone();
            return Err(SubmitError::Unknown { session, reason });
        }
        smol::Timer::after(submission.settle_interval).await;
    }
}

/// What a look at the head tells after a conflict.
enum Settled {
    Submitted(Submitted),
    NotYet(String),
}

/// Finds out after a conflict whether the own write made it.
async fn settle_conflict(
    store: &dyn ObjectStore,
    submission: &Submission,
    unsure: bool,
) -> Result<Settled, SubmitError> {
    let current = match read_head(store).await {
        Ok(current) => current,
        Err(error) => return Ok(Settled::NotYet(error.to_string())),
    };
    if let Some(mut submitted) = earlier_run(current.as_ref(), submission) {
        submitted.by_earlier_run = !unsure;
        return Ok(Settled::Submitted(submitted));
    }
    refuse_if_moved(current.as_ref(), submission)?;
    // The store said conflict, yet shows the head that the session read.
    Ok(Settled::NotYet("the store contradicts itself".into()))
}

fn earlier_run(current: Option<&StoredHead>, submission: &Submission) -> Option<Submitted> {
    let generation = current?.head.generation_of(submission.session.as_str())?;
    Some(Submitted {
        generation,
        by_earlier_run: true,
    })
}

/// A session may only replace the generation that it began with: so it never
/// applies twice, however late it is run again.
fn refuse_if_moved(
    current: Option<&StoredHead>,
    submission: &Submission,
) -> Result<(), SubmitError> {
    let base = submission.session.base();
    let Some(StoredHead { head, .. }) = current else {
        return match base {
            Generation(0) => Ok(()),
            _ => Err(SubmitError::NotSubmitted(ReadError::Head(
                "it was there when the session began and is gone".into(),
            ))),
        };
    };
    if head.generation == base {
        return Ok(());
    }
    let remembers = head
        .sessions
        .first()
        .is_some_and(|oldest| oldest.generation.0 <= base.0 + 1);
    if remembers || head.generation < base {
        return Err(SubmitError::Lost(Box::new(head.clone())));
    }
    Err(SubmitError::Forgotten {
        session: submission.session.clone(),
        generation: head.generation.0,
    })
}
