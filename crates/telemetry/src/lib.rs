//! Logging, numbered events and metrics.
//!
//! Every decision of the system is logged as one numbered event. The event
//! catalogue in `docs/events.md` is generated from the event types.

pub mod events;
mod log_setup;
mod log_writer;
mod metrics_setup;

pub use events::{emit, Event, EventSpec};
pub use log_setup::{init_log, LogFormat, LogOutput, LogSetupError};
pub use log_writer::flush_log;
pub use metrics_setup::{compact_metrics, init_metrics, render_metrics};
