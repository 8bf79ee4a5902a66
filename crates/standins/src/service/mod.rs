//! The plain-service stand-in, which keeps a ledger of what it ran.

mod http;
mod ledger;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use clap::Args;
use serde::{Deserialize, Serialize};

pub use http::expected_body;
pub use ledger::{Ledger, LedgerLine, Run};

use crate::serving;

/// Settings of the plain-service stand-in.
#[derive(Clone, Debug, Args)]
pub struct ServiceArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name of this instance.
    #[arg(long, default_value = "service")]
    pub instance: String,
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub work_ms: u64,
    /// Faults in force from the start, as JSON.
    #[arg(long, default_value = "{}")]
    pub faults: String,
}

/// The faults in force; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Time by which every call takes longer, in milliseconds.
    pub slow_ms: u64,
    /// Calls wait until the fault is cleared.
    pub freeze: bool,
    /// The process aborts once a call has started.
    pub crash_after_start: bool,
    /// Answers carry another request's id and body.
    pub crossed: bool,
    /// Answers end before their announced length.
    pub truncate: bool,
    /// Calls run, and then their connection is cut.
    pub lose_answers: bool,
}

/// Runs the service until the process ends.
///
/// # Errors
///
/// When the address can't be bound or the faults can't be read.
pub async fn run(args: ServiceArgs) -> io::Result<()> {
    let faults = serde_json::from_str(&args.faults)?;
    let service = Arc::new(http::Service::new(
        Duration::from_millis(args.work_ms),
        faults,
    ));
    let handler = move |conn| {
        let service = service.clone();
        async move { service.answer(conn).await }
    };
    serving::serve(args.listen, "service", &args.instance, handler).await
}
