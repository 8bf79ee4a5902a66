//! The entry role: takes in callers, chooses an upstream instance for each
//! request and relays the answer.
//!
//! A request passes a fixed row of filters: identify, classify, read body,
//! check quarantine, admit, claim, choose, dispatch, relay, settle.

mod answer;
mod app;
mod attempt;
mod chat;
mod evidence;
mod failure;
mod filters;
mod head_guard;
mod lifecycle;
mod meters;
mod models;
mod once;
mod operator;
mod pools;
mod request;
mod routes;
mod server;
mod services;
mod settings;
mod unix_time;

pub use answer::sse::{EventError, EventSplitter};
pub use filters::{chat_body, request_id};
pub use once::sweep_once;
pub use server::{serve, DrainHandle, Parts, Running};
pub use settings::Settings;

use std::sync::Arc;

use shared_state::SharedState;

/// The entry could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address could not be bound.
    #[error("can't listen on {addr}: {reason}")]
    Listen {
        /// The address.
        addr: String,
        /// The system's word.
        reason: String,
    },
    /// The stop signal could not be watched.
    #[error("can't watch for SIGTERM: {0}")]
    Signal(std::io::Error),
}

/// Runs an entry until it has drained after SIGTERM or an operator's drain.
///
/// # Errors
///
/// [`RunError`] when it can't start.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let peers = rpc::Client::new(settings.instance.clone(), settings.secrets.clone());
    let store = Arc::new(settings.platform.clone());
    let shared = SharedState::start(
        shared_state::Settings::builder()
            .instance(settings.instance.clone())
            .store(store.clone())
            .instances(store.clone())
            .peers(peers.clone())
            .seeds(settings.seeds.clone())
            .build(),
    );
    let parts = Parts {
        shared,
        store,
        peers,
    };
    let running = serve(settings, parts).await?;
    lifecycle::drain_at_signal(&running)?;
    running.print_listening();
    running.finished().await;
    Ok(())
}
