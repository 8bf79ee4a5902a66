//! Events of the agent role.

use types::InstanceId;

use super::macros::events;

events! {
    /// Events of the agent role.
    AgentEvent {
        2000 Info Listening {
            /// Own instance.
            instance: InstanceId,
            /// Internal listener.
            addr: String,
        } = "The agent accepts dispatches.", "Nothing.";
    }
}
