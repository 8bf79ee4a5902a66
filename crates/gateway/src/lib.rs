//! The gateway role: forwards requests directly to the instances of plain and
//! model upstreams, using routes, teams and instance lists from a platform.
//!
//! Each request passes the same steps: route, authenticate, read the body,
//! place, send, relay. Header names and object formats of the platform are
//! confined to its adapter, which implements [`HeaderCodec`] and [`Feed`].

mod announcements;
mod app;
mod attempt;
mod crash_evidence;
mod duties;
mod failure;
mod feed;
mod feed_watcher;
mod guard;
mod header_codec;
mod headers;
mod live;
mod load_exchange;
mod named_limits;
mod peers;
mod platform_sync;
mod request;
mod response;
pub mod routing;
mod serve;
mod server;
mod settings;
mod upstream;

pub use duties::{
    DutyApi, DutyApiFactory, DutyCaller, DutyError, DutySettings, DutyStore, FixedWindow,
    UsageRecord,
};
pub use feed::{Feed, FeedEntry, Listing, WatchResult};
pub use feed_watcher::log_unreadable;
pub use header_codec::{HeaderCodec, RequestMeta, ResponseMeta, UpstreamRequestMeta};
pub use live::{
    read_settings_file, DutyNames, FileSettings, Flag, LiveSettings, SettingsFileError,
};
pub use peers::{PeerDirectory, PeerRecord, PeerReport};
pub use server::{start, DrainHandle, PlatformAdapter, Running};
pub use settings::{RetryBound, Settings};

/// Error that prevents a gateway from starting.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address could not be bound.
    #[error("cannot listen on {addr}: {reason}")]
    Listen {
        /// Address from the settings.
        addr: String,
        /// Error of the operating system.
        reason: String,
    },
    /// A signal handler could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signal(std::io::Error),
}

/// Runs a gateway until it has drained after SIGTERM or SIGINT. SIGHUP reloads
/// the settings file.
///
/// # Errors
///
/// [`RunError`] if a listener or a signal handler can't be set up.
pub async fn run(settings: Settings, platform: PlatformAdapter) -> Result<(), RunError> {
    let running = start(settings, platform).await?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let handle = running.drain_handle();
        let watch = net::watch_signal(signal, move || handle.drain()).map_err(RunError::Signal)?;
        async_global_executor::spawn(watch).detach();
    }
    let watch = net::watch_signal(signal_hook::consts::SIGHUP, running.reload_on_signal())
        .map_err(RunError::Signal)?;
    async_global_executor::spawn(watch).detach();
    running.finished().await;
    Ok(())
}
