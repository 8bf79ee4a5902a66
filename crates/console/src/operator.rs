//! What every operator command works with.

use std::sync::Arc;

use config::{Document, ValidationError};
use shared_state::{ReadError, SubmitError};
use store::{InstanceSource, ObjectStore, StoreError};

use crate::answers::SourceError;

/// The platform and the fleet, as operator commands reach them.
#[derive(Clone)]
pub struct Operator {
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceSource>,
    /// Calls to entries and agents.
    pub peers: rpc::Client,
    /// Internal addresses asked for the list while the platform is down.
    pub seeds: Vec<Arc<str>>,
}

/// An operator command failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// A file can't be read.
    #[error("can't read {path}: {reason}")]
    File {
        /// The path.
        path: String,
        /// The system's word.
        reason: String,
    },
    /// A form session had no answer.
    #[error(transparent)]
    Answers(#[from] SourceError),
    /// A document breaks rules.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The configuration can't be read.
    #[error("can't read the configuration: {0}")]
    Read(#[from] ReadError),
    /// The instance list can't be read.
    #[error("can't read the instance list: {0}")]
    Instances(#[from] StoreError),
    /// A submission failed.
    #[error(transparent)]
    Submit(#[from] SubmitError),
    /// Another session was first.
    #[error("{error}\nyour document against the one in force:\n{changes}")]
    Lost {
        /// Who won.
        error: SubmitError,
        /// What the own document would change in the winner's, one line each.
        changes: String,
    },
    /// There is no configuration yet.
    #[error("no configuration was submitted yet")]
    NoConfiguration,
    /// A generation is not in force everywhere in time.
    #[error("generation {generation} is not in force everywhere; waiting for: {stragglers}")]
    NotEverywhere {
        /// The generation.
        generation: u64,
        /// Instances behind it or without an answer.
        stragglers: String,
    },
    /// No such instance.
    #[error("{instance} is not on the instance list")]
    UnknownInstance {
        /// The id.
        instance: String,
    },
    /// An instance did not take a command.
    #[error("{instance}: {error}")]
    Call {
        /// The instance.
        instance: String,
        /// What happened.
        error: rpc::CallError,
    },
}

impl OperatorError {
    /// Exit code of the command: 1 failed without effect, 3 lost against
    /// another session, 4 effect not known.
    pub fn exit_code(&self) -> u8 {
        match self {
            OperatorError::Lost { .. } | OperatorError::Submit(SubmitError::Lost(_)) => 3,
            OperatorError::Submit(SubmitError::Unknown { .. }) => 4,
            OperatorError::Call { error, .. } if error.verdict() == types::Verdict::MayHaveRun => 4,
            _ => 1,
        }
    }
}

impl Operator {
    /// Reads the document of a head from the store.
    pub(crate) async fn document_of(&self, head: &config::Head) -> Result<Document, OperatorError> {
        let known = config::ShardTexts::new();
        let shards = shared_state::read_shards(&*self.store, head, &known).await?;
        let document = config::assemble_document(head, &shards).map_err(ReadError::from)?;
        Ok(document)
    }
}
