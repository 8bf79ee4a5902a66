//! The state that all processes of a deployment share: the configuration and
//! the list of instances.
//!
//! The request path reads both as immutable snapshots, which are replaced
//! atomically. Background tasks update them from the platform's store, or from
//! peers while the store is unavailable.

mod applied_config;
mod config_store;
mod follow;
mod membership;
mod rpc_methods;
mod session;
mod settings;
mod state;
mod submit;

pub use applied_config::AppliedConfig;
pub use config_store::{
    head_key, parse_head, read_head, read_shards, shard_key, ReadError, StoredHead, HEAD_KIND,
    HEAD_NAME, SHARD_KIND,
};
pub use follow::{delay_before_fetch, jittered, neighbours, GOSSIP_FANOUT, NEIGHBOURS_MAX};
pub use membership::{Membership, MembershipTracker};
pub use rpc_methods::register_methods;
pub use session::{ParseSessionIdError, SessionId};
pub use settings::Settings;
pub use state::SharedState;
pub use submit::{submit, Submission, SubmitError, Submitted};
