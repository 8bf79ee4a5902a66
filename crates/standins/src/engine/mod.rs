//! Simulated model engine: continuous batching with a limited batch size, a
//! prefix cache, priorities, cancellation, resumption and delayed load reports.

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

/// Command-line arguments of the simulated engine.
#[derive(Clone, Debug, Args)]
pub struct EngineArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name of this instance, printed with its listen address.
    #[arg(long, default_value = "engine")]
    pub instance: String,
    /// Name of a served model; may be repeated. Other models are refused with 404.
    #[arg(long = "model", default_values = ["advice"])]
    pub models: Vec<String>,
    /// Maximum number of requests in the batch; further ones are queued.
    #[arg(long, default_value_t = 16)]
    pub batch_max: usize,
    /// Time between two tokens of a request that runs alone, in milliseconds;
    /// with 0 tokens are generated as fast as the connection accepts them.
    #[arg(long, default_value_t = 20.0)]
    pub token_ms: f64,
    /// Increase of the time between two tokens for each further running request,
    /// in thousandths.
    #[arg(long, default_value_t = 5)]
    pub batch_slope_permille: u32,
    /// Prefill time of one prompt token that is not cached, in microseconds.
    #[arg(long, default_value_t = 50)]
    pub prefill_us_per_token: u64,
    /// Capacity of the prefix cache, in blocks of 16 tokens.
    #[arg(long, default_value_t = 1024)]
    pub cache_blocks: usize,
    /// Delay until a cache event is visible, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub event_lag_ms: u64,
    /// Drop every n-th cache event; 0 drops none.
    #[arg(long, default_value_t = 7)]
    pub event_gap_every: u64,
    /// Delay of load reports, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub load_lag_ms: u64,
    /// Refuse orders whose fencing number is lower than an earlier one.
    #[arg(long)]
    pub fencing: bool,
    /// Faults active from the start, as JSON.
    #[arg(long, default_value = "{}")]
    pub faults: String,
}

/// Runs the simulated engine until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the faults are invalid.
pub async fn run(args: EngineArgs) -> io::Result<()> {
    let faults: Faults = serde_json::from_str(&args.faults)?;
    let listen = args.listen;
    let instance = args.instance.clone();
    let engine = engine_state::Engine::start(args, faults);
    let handler = move |conn| {
        let engine = Arc::clone(&engine);
        async move { http::handle(&engine, conn).await }
    };
    serving::serve(listen, "engine", &instance, handler).await
}
