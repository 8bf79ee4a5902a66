//! Events of configuration, membership, claims and leases.

use types::Generation;

use super::macros::events;

events! {
    /// Events of configuration, membership, claims and leases.
    StateEvent {
        3000 Info ConfigurationApplied {
            /// Generation now in force.
            generation: Generation,
            /// Where it came from: store, peer or file.
            source: String,
        } = "A newer configuration is in force in this process.", "Nothing.";
    }
}
