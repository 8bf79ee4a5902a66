//! Starts clusters of real processes for tests, the demonstration and
//! measurements, and injects failures.
//!
//! A [`Cluster`] consists of a simulated platform, simulated engines and plain
//! services, one agent for each of them, and the entries. All processes listen
//! on loopback with ports assigned by the system and are killed when the
//! cluster is dropped.
//!
//! ```no_run
//! # fn main() -> Result<(), harness::HarnessError> { smol::block_on(async {
//! use harness::{Cluster, ClusterPlan, ChatRequest};
//!
//! let plan = ClusterPlan::builder().engines(2).build();
//! let mut cluster = Cluster::start(plan).await?;
//! let reply = cluster.caller(0).chat(&ChatRequest::streamed("how worn? [len=40]")).await;
//! assert!(reply.outcome.is_complete(), "{reply:?}");
//!
//! cluster.kill("engine-0")?;
//! cluster.restart("engine-0").await?;
//! cluster.set_faults("engine-1", r#"{"crash_at_token": 10}"#).await?;
//! cluster.freeze("agent-0")?;
//! cluster.thaw("agent-0")?;
//! cluster.terminate("entry-0")?;
//! # Ok(()) }) }
//! ```
//!
//! Process names: `platform`, `entry-0`.., `engine-0`.. with `agent-0`..,
//! and `service-0`.. with `service-agent-0`...

mod cluster;
mod error;
mod http;
mod log_buffer;
mod plan;
mod process;
mod programs;
mod usage;

pub use cluster::{Cluster, ENGINE_MODEL, ENGINE_UPSTREAM, SERVICE_ROUTE, SERVICE_UPSTREAM};
pub use error::HarnessError;
pub use plan::{args, default_document, ClusterPlan, CAFE_KEY, CLINIC_KEY};
pub use process::{Listening, Process, ProcessSpec};
pub use programs::Programs;
pub use standins::{
    caller::{Caller, ChatRequest, Outcome, Reply, ServiceCall},
    engine::Stats,
    service::{Ledger, Run},
};
