//! Numbered log events, one module per component.
//!
//! Number ranges: 1000 entry, 2000 agent, 3000 shared state, 4000 operator
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

/// Catalogue entry of one event type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventSpec {
    /// Stable number, unique in the catalogue.
    pub number: u32,
    /// Event name, as written to the `event` field of the log line.
    pub name: &'static str,
    /// Severity at which the event is logged.
    pub level: Level,
    /// Field names in declaration order, with the unit as suffix.
    pub fields: &'static [&'static str],
    /// Explanation of what happened, for operators.
    pub meaning: &'static str,
    /// Recommended operator action.
    pub action: &'static str,
}

/// Event type with a catalogue entry; its serialized form gives the log fields.
pub trait Event: Serialize {
    /// Returns the catalogue entry of this event.
    fn spec(&self) -> &'static EventSpec;
}

/// Returns the catalogue entries of all events, ordered by number.
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
    // Event fields are plain values, for which serialization cannot fail.
    let fields = serde_json::to_string(event).unwrap_or_default();
    log::log!(target: EVENT_TARGET, spec.level, "{} {} {}", spec.number, spec.name, fields);
}
