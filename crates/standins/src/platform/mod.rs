//! The platform stand-in: versioned objects with conditional updates and
//! watches, and a lagging instance list.

mod faults;
mod http;
mod instances;
mod notify;
mod objects;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use clap::Args;

pub use faults::Faults;

use crate::serving;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Args)]
pub struct PlatformArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Time until a change of the instance list shows, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub instance_lag_ms: u64,
    /// Reads and watches taken a second; more are refused with 429.
    #[arg(long, default_value_t = 2_000)]
    pub reads_per_s: u32,
    /// Writes taken a second; more are refused with 429.
    #[arg(long, default_value_t = 400)]
    pub writes_per_s: u32,
}

/// Runs the platform until the process ends.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn run(args: PlatformArgs) -> io::Result<()> {
    let platform = Arc::new(http::Platform::new(
        Duration::from_millis(args.instance_lag_ms),
        args.reads_per_s,
        args.writes_per_s,
    ));
    let handler = move |conn| {
        let platform = platform.clone();
        async move { platform.answer(conn).await }
    };
    serving::serve(args.listen, "platform", "platform", handler).await
}
