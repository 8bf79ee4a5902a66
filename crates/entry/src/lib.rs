//! The entry role: accepts requests of callers, chooses an upstream instance for
//! each and relays its response.
//!
//! A request passes these stages in order: identify, classify, read body, check
//! quarantine, admit, claim, choose, dispatch, relay, settle. Only requests that
//! run at most once are claimed and settled: an object in the platform's store
//! reserves their idempotency key and then records their outcome.

mod app;
mod at_most_once;
mod attempt;
mod chat;
mod evidence;
mod failure;
mod filters;
mod guard;
mod meters;
mod models;
mod operator;
mod pools;
mod request;
mod response;
mod routes;
mod server;
mod services;
mod settings;
mod unix_time;

pub use at_most_once::sweep_expired_claims;
pub use filters::{chat_body, request_id};
pub use response::sse::{EventError, EventSplitter};
pub use server::{serve, Dependencies, DrainHandle, Running};
pub use settings::Settings;

use std::sync::Arc;

use shared_state::SharedState;

/// Error that prevents an entry from starting.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listener's address could not be bound.
    #[error("cannot listen on {addr}: {reason}")]
    Listen {
        /// Address from the settings.
        addr: String,
        /// Error text of the operating system.
        reason: String,
    },
    /// A handler for SIGTERM or SIGINT could not be installed.
    #[error("cannot install a handler for SIGTERM or SIGINT: {0}")]
    Signal(std::io::Error),
}

/// Runs an entry until it has drained after SIGTERM, SIGINT or an operator's
/// drain call.
///
/// # Errors
///
/// [`RunError`] if it can't start.
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
    let dependencies = Dependencies {
        shared,
        store,
        peers,
    };
    let running = serve(settings, dependencies).await?;
    drain_on_signals(&running)?;
    running.print_listening();
    running.finished().await;
    Ok(())
}

/// Installs signal handlers that drain the entry on SIGTERM or SIGINT.
fn drain_on_signals(running: &Running) -> Result<(), RunError> {
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let handle = running.drain_handle();
        let watch = net::watch_signal(signal, move || handle.drain()).map_err(RunError::Signal)?;
        async_global_executor::spawn(watch).detach();
    }
    Ok(())
}
