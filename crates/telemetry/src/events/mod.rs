//! The numbered events, one module for each part of the system.
//!
//! Numbers: 1000 entry, 2000 agent, 3000 shared state, 4000 operator
//! commands, 5000 gateway.

mod agent;
mod entry;
mod gateway;
mod macros;
mod operator;
mod state;

pub use agent::AgentEvent;
pub use entry::EntryEvent;
pub use gateway::GatewayEvent;
pub use operator::OperatorEvent;
pub use state::StateEvent;

use log::Level;
use serde::Serialize;

/// Log target of every numbered event.
pub const EVENT_TARGET: &str = "event";

/// The fixed part of an event's catalogue entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventSpec {
    /// Stable number.
    pub number: u32,
    /// Name, as in the `event` field of the log line.
    pub name: &'static str,
    /// Severity.
    pub level: Level,
    /// Field names; each carries its unit as suffix.
    pub fields: &'static [&'static str],
    /// What happened.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

/// A typed event.
pub trait Event: Serialize {
    /// The catalogue entry of this event.
    fn spec(&self) -> &'static EventSpec;
}

/// The catalogue: every event, ordered by number.
pub fn catalogue() -> Vec<&'static EventSpec> {
    let parts = [
        EntryEvent::SPECS,
        AgentEvent::SPECS,
        StateEvent::SPECS,
        OperatorEvent::SPECS,
        GatewayEvent::SPECS,
    ];
    parts.into_iter().flatten().collect()
}

/// Logs an event as one line: number and name, then the fields as JSON.
pub fn emit(event: &impl Event) {
    let spec = event.spec();
    if !log::log_enabled!(target: EVENT_TARGET, spec.level) {
        return;
    }
    // Events are flat structs of names and numbers: serialization can't fail.
    let fields = serde_json::to_string(event).unwrap_or_default();
    log::log!(target: EVENT_TARGET, spec.level, "{} {} {}", spec.number, spec.name, fields);
}
