//! Starts fleets of real processes for tests, the demonstration and
//! measurements, and makes them fail.
//!
//! A [`Cluster`] is a platform, engines and plain services (stand-ins), the
//! product's agents beside them and its entries in front, all on loopback
//! with ports from the system. Everything that a fleet started ends with it.
//!
//! ```no_run
//! # fn main() -> Result<(), harness::HarnessError> { smol::block_on(async {
//! use harness::{Cluster, ClusterPlan, ChatRequest};
//!
//! let plan = ClusterPlan::builder().engines(2).build();
//! let mut fleet = Cluster::start(plan).await?;
//! let reply = fleet.caller(0).chat(&ChatRequest::streamed("how worn? [len=40]")).await;
//! assert!(reply.outcome.is_complete(), "{reply:?}");
//!
//! fleet.kill("engine-0")?;
//! fleet.restart("engine-0").await?;
//! fleet.set_faults("engine-1", r#"{"crash_at_token": 10}"#).await?;
//! fleet.freeze("agent-0")?;
//! fleet.thaw("agent-0")?;
//! fleet.terminate("entry-0")?;
//! # Ok(()) }) }
//! ```
//!
//! Names: `platform`, `entry-0`.., `engine-0`.. with `agent-0`.. beside them,
//! `service-0`.. with `service-agent-0`.. beside them.

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
