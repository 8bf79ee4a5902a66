//! Simulated plain service, which records every run in a ledger.

mod http;
mod ledger;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use clap::Args;
use serde::{Deserialize, Serialize};

pub use http::expected_body;
pub use ledger::{Ledger, LedgerLine, Run};

use crate::serving;

/// Command-line arguments of the simulated plain service.
#[derive(Clone, Debug, Args)]
pub struct ServiceArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name of this instance, printed with its listen address.
    #[arg(long, default_value = "service")]
    pub instance: String,
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub work_ms: u64,
    /// Faults active from the start, as JSON.
    #[arg(long, default_value = "{}")]
    pub faults: String,
}

/// Active faults; none by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Time added to the duration of every call, in milliseconds.
    pub slow_ms: u64,
    /// Suspends calls until the fault is cleared.
    pub freeze: bool,
    /// Aborts the process when a call has started.
    pub crash_after_start: bool,
    /// Sends responses with the id and body of another request.
    pub crossed: bool,
    /// Closes the connection after half of the announced response length.
    pub truncate: bool,
    /// Runs calls but closes the connection without a response.
    pub lose_answers: bool,
}

/// Runs the service until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the faults are invalid.
pub async fn run(args: ServiceArgs) -> io::Result<()> {
    let faults = serde_json::from_str(&args.faults)?;
    let service = Arc::new(http::Service::new(
        Duration::from_millis(args.work_ms),
        faults,
    ));
    let handler = move |conn| {
        let service = service.clone();
        async move { service.handle(conn).await }
    };
    serving::serve(args.listen, "service", &args.instance, handler).await
}
