//! The gateway role: an entry that sends straight to the instances of plain
//! and model upstreams, by routes, teams and rosters that a platform keeps.
//!
//! A request passes a fixed row of filters: route, identify, read body, place,
//! send, relay. What the platform calls things is known to its adapter only
//! ([`HeaderCodec`], [`Feed`]).

mod answer;
mod app;
mod attempt;
mod failure;
mod feed;
mod follow;
mod guard;
mod header_codec;
mod headers;
mod live;
mod request;
pub mod routing;
mod serve;
mod server;
mod settings;
mod state;
mod upstream;

pub use feed::{Feed, FeedEntry, Listing, WatchResult};
pub use header_codec::{HeaderCodec, RequestMeta, ResponseMeta, UpstreamRequestMeta};
pub use live::{read_settings_file, FileSettings, LiveSettings, SettingsFileError};
pub use server::{start, DrainHandle, PlatformAdapter, Running};
pub use settings::{RetryBound, Settings};

/// The gateway could not run.
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
    /// A signal could not be watched.
    #[error("can't watch for signals: {0}")]
    Signal(std::io::Error),
}

/// Runs a gateway until it has drained after SIGTERM.
///
/// # Errors
///
/// [`RunError`] when it can't start.
pub async fn run(settings: Settings, parts: PlatformAdapter) -> Result<(), RunError> {
    let running = start(settings, parts).await?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let handle = running.drain_handle();
        let watch = net::watch_signal(signal, move || handle.drain()).map_err(RunError::Signal)?;
        async_global_executor::spawn(watch).detach();
    }
    let watch = net::watch_signal(signal_hook::consts::SIGHUP, running.reread_at_signal())
        .map_err(RunError::Signal)?;
    async_global_executor::spawn(watch).detach();
    running.finished().await;
    Ok(())
}
