//! Simulated platform: versioned objects with conditional updates and watches,
//! and an instance list with delayed changes.

mod faults;
mod http;
mod instances;
mod notify;
mod objects;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use clap::Args;

pub use faults::Faults;

use crate::serving;

/// Command-line arguments of the simulated platform.
#[derive(Clone, Debug, Args)]
pub struct PlatformArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Delay until a change of the instance list is visible, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub instance_lag_ms: u64,
    /// Maximum reads and watches per second; more are refused with 429.
    #[arg(long, default_value_t = 2_000)]
    pub reads_per_s: u32,
    /// Maximum writes per second; more are refused with 429.
    #[arg(long, default_value_t = 400)]
    pub writes_per_s: u32,
}

/// Runs the simulated platform until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(args: PlatformArgs) -> io::Result<()> {
    let platform = Arc::new(http::Platform::new(
        Duration::from_millis(args.instance_lag_ms),
        args.reads_per_s,
        args.writes_per_s,
    ));
    let handler = move |conn| {
        let platform = platform.clone();
        async move { platform.handle(conn).await }
    };
    serving::serve(args.listen, "platform", "platform", handler).await
}
