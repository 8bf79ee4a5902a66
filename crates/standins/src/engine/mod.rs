//! The model engine stand-in: continuous batching with a limited batch, a
//! prefix cache, priorities, cancel, resume and lagging reports.

mod active_request;
mod batch;
mod cache;
mod engine_state;
mod faults;
mod http;
mod load;
mod orders;
mod response_body;

use std::{io, net::SocketAddr, sync::Arc};

use clap::Args;

pub use engine_state::Stats;
pub use faults::Faults;

use crate::serving;

/// Settings of the engine stand-in.
#[derive(Clone, Debug, Args)]
pub struct EngineArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name of this instance.
    #[arg(long, default_value = "engine")]
    pub instance: String,
    /// Models that are served.
    #[arg(long = "model", default_values = ["advice"])]
    pub models: Vec<String>,
    /// Requests that run at once at most.
    #[arg(long, default_value_t = 16)]
    pub batch_max: usize,
    /// Time between two tokens of a request that runs alone, in milliseconds;
    /// 0 generates as fast as the connection takes tokens.
    #[arg(long, default_value_t = 20.0)]
    pub token_ms: f64,
    /// By how much each further running request lengthens the time between
    /// two tokens, in thousandths.
    #[arg(long, default_value_t = 5)]
    pub batch_slope_permille: u32,
    /// Time to read one prompt token that is not cached, in microseconds.
    #[arg(long, default_value_t = 50)]
    pub prefill_us_per_token: u64,
    /// Prompt blocks that the prefix cache holds.
    #[arg(long, default_value_t = 1024)]
    pub cache_blocks: usize,
    /// Time until a cache event shows, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub event_lag_ms: u64,
    /// Every so many cache events one is lost; 0 loses none.
    #[arg(long, default_value_t = 7)]
    pub event_gap_every: u64,
    /// Age of a load report, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub load_lag_ms: u64,
    /// Refuse orders with an old fencing number.
    #[arg(long)]
    pub fencing: bool,
    /// Faults in force from the start, as JSON.
    #[arg(long, default_value = "{}")]
    pub faults: String,
}

/// Runs the engine until the process ends.
///
/// # Errors
///
/// When the address can't be bound or the faults can't be read.
pub async fn run(args: EngineArgs) -> io::Result<()> {
    let faults: Faults = serde_json::from_str(&args.faults)?;
    let listen = args.listen;
    let instance = args.instance.clone();
    let engine = engine_state::Engine::start(args, faults);
    let handler = move |conn| {
        let engine = Arc::clone(&engine);
        async move { http::answer(&engine, conn).await }
    };
    serving::serve(listen, "engine", &instance, handler).await
}
