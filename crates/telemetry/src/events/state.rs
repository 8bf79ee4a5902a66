//! Events of configuration, membership, claims and leases.

use types::{Generation, InstanceId};

use super::macros::events;

events! {
    /// Events of configuration, membership, claims and leases.
    StateEvent {
        3000 Info ConfigurationApplied {
            /// Generation now in force.
            generation: Generation,
            /// Where it came from: store or peer.
            source: String,
        } = "A newer configuration is in force in this process.", "Nothing.";
        3001 Warn OlderConfigurationIgnored {
            /// Generation that the store answered.
            generation: Generation,
            /// Generation in force.
            in_force: Generation,
        } = "The store answered with an older configuration than the one in force; the process keeps its own.",
            "If it lasts, the store was set back: submit the document in force again (`limpetgw config show --from ADDRESS` prints it).";
        3002 Warn PeerConfigurationRefused {
            /// Internal address of the peer.
            peer_addr: String,
            /// Why.
            reason: String,
        } = "A peer's configuration did not match its digests or broke a rule; the process keeps its own.",
            "Check that all processes run compatible versions; a repeated case from one peer points at a faulty instance.";
        3003 Warn StoreReachabilityChanged {
            /// Whether the store answers now.
            answers: bool,
        } = "The platform's store stopped answering, or answers again.",
            "During an outage requests go on, at-most-once calls are refused and submissions wait: see the platform's status.";
        3010 Info MembershipChanged {
            /// Version of the platform's list.
            list_version: u64,
            /// Instances on the list.
            instances: usize,
            /// Instances that may take new work.
            live: usize,
        } = "The set of instances that may take new work has changed.", "Nothing.";
        3011 Info InstanceSaidLeaving {
            /// The instance.
            instance: InstanceId,
        } = "An instance said that it is leaving before the list did; it gets no new work from here.", "Nothing.";
    }
}
