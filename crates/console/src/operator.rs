//! Clients and errors that all operator commands share.

use std::sync::Arc;

use config::{Document, ValidationError};
use shared_state::{ReadError, SubmitError};
use store::{InstanceSource, ObjectStore, StoreError};

use crate::answers::SourceError;

/// Clients for the platform and for internal calls to other processes.
#[derive(Clone)]
pub struct OperatorClient {
    /// Object store of the platform.
    pub store: Arc<dyn ObjectStore>,
    /// Instance list of the platform.
    pub instances: Arc<dyn InstanceSource>,
    /// Client for internal calls to entries and agents, with the peer secrets.
    pub peers: rpc::Client,
    /// Internal addresses (`IP:port`) of processes that provide the instance list
    /// while the platform is unavailable.
    pub seeds: Vec<Arc<str>>,
}

/// An error of an operator command.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// A file cannot be read.
    #[error("can't read {path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Message of the I/O error.
        reason: String,
    },
    /// The answer source of a form session failed.
    #[error(transparent)]
    Answers(#[from] SourceError),
    /// A document violates rules.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The configuration cannot be read or is not valid.
    #[error("can't read the configuration: {0}")]
    Read(#[from] ReadError),
    /// The instance list cannot be read.
    #[error("can't read the instance list: {0}")]
    Instances(#[from] StoreError),
    /// A submission failed or its outcome is unknown.
    #[error(transparent)]
    Submit(#[from] SubmitError),
    /// Another session submitted a document first.
    #[error("{error}\nchanges of your document relative to the stored one:\n{changes}")]
    Conflict {
        /// Error that names the session that submitted first.
        error: SubmitError,
        /// Changes of the rejected document relative to the stored one, one per
        /// line.
        changes: String,
    },
    /// No configuration has been submitted yet.
    #[error("no configuration has been submitted yet")]
    NoConfiguration,
    /// Some processes did not apply a generation in time.
    #[error(
        "generation {generation} is not applied in all processes; waiting for: {lagging_instances}"
    )]
    WaitTimeout {
        /// Generation that was waited for.
        generation: u64,
        /// Instances with an older generation or without a response.
        lagging_instances: String,
    },
    /// The instance is not on the instance list.
    #[error("{instance} is not on the instance list")]
    UnknownInstance {
        /// Name of the instance.
        instance: String,
    },
    /// A call to an instance failed.
    #[error("{instance}: {error}")]
    Call {
        /// Name or address of the instance.
        instance: String,
        /// Error of the call.
        error: rpc::CallError,
    },
}

impl OperatorError {
    /// Returns the exit code of the command: 1 if it failed without effect, 3 if
    /// another session submitted first, 4 if the outcome is unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            OperatorError::Conflict { .. } | OperatorError::Submit(SubmitError::Conflict(_)) => 3,
            OperatorError::Submit(SubmitError::OutcomeUnknown { .. }) => 4,
            OperatorError::Call { error, .. } if error.verdict() == types::Verdict::MayHaveRun => 4,
            _ => 1,
        }
    }
}

impl OperatorClient {
    /// Reads the document that a head refers to from the store.
    pub(crate) async fn document_of(&self, head: &config::Head) -> Result<Document, OperatorError> {
        let known = config::ShardTexts::new();
        let shards = shared_state::read_shards(&*self.store, head, &known).await?;
        let document = config::assemble_document(head, &shards).map_err(ReadError::from)?;
        Ok(document)
    }
}
