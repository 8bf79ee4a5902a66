//! Events of configuration, membership, claims and leases.

use types::{Generation, InstanceId};

use super::macros::events;

events! {
    /// Events of configuration, membership, claims and leases.
    StateEvent {
        3000 Info ConfigurationApplied {
            /// Generation that is now active.
            generation: Generation,
            /// Origin of the configuration: store or peer.
            source: String,
        } = "This process applied a newer configuration.", "Nothing.";
        3001 Warn OlderConfigurationIgnored {
            /// Generation that the store returned.
            generation: Generation,
            /// Generation that stays active.
            in_force: Generation,
        } = "The store returned an older configuration than the active one; the process keeps the active one.",
            "If it persists, the store was reset to an earlier state: submit the active document again (`limpetgw config show --from ADDRESS` prints it).";
        3002 Warn PeerConfigurationRefused {
            /// Internal address of the peer that sent the configuration.
            peer_addr: String,
            /// Reason for the rejection.
            reason: String,
        } = "A peer sent a configuration that did not match its digests or failed validation; the process keeps its own.",
            "Check that all processes run compatible versions; repeated rejections from one peer indicate a faulty instance.";
        3003 Warn StoreReachabilityChanged {
            /// Whether the store responds now.
            answers: bool,
        } = "The platform's store stopped responding, or responds again.",
            "Check the platform's status. During an outage requests are still served, at-most-once calls are refused and submissions wait.";
        3004 Warn ListItemUnreadable {
            /// Position of the item in the list, from 0.
            index: usize,
            /// Description of the decoding error.
            reason: String,
        } = "An item of a list of the platform, such as the entry of an instance, could not be decoded and is left out.",
            "Find out which program wrote the item; expected during a roll-out of a version that adds a role.";
        3005 Warn StoreEraRose {
            /// Era before.
            before: u32,
            /// Era that the store names now.
            era: u32,
            /// Call whose response named it first.
            call: String,
        } = "The platform's store came back from an older copy: writes that it had acknowledged may be lost, and its revisions are given out again. All positions in its history are dropped, and everything is listed again.",
            "See `the store came back from a copy` in the operations page.";
        3006 Warn StoreEraInvalid {
            /// Value that the store sent.
            value: String,
            /// Era that is assumed instead.
            era: u32,
        } = "The platform's store named an era that is no number, lower than before or far above it; it is ignored. Logged once.",
            "Check the platform's store.";
        3010 Info MembershipChanged {
            /// Version of the platform's instance list.
            list_version: u64,
            /// Number of instances on the list.
            instances: usize,
            /// Number of instances that accept new requests.
            live: usize,
        } = "The set of instances that accept new requests has changed.", "Nothing.";
        3011 Info InstanceSaidLeaving {
            /// Id of the instance that is leaving.
            instance: InstanceId,
        } = "An instance announced that it is leaving before the platform's list did; this process sends it no new requests.", "Nothing.";
    }
}
