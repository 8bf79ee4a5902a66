//! What the processes of the fleet share: configuration and membership.
//!
//! The request path reads both through read-copy-update snapshots; background
//! tasks keep them current from the platform's store, or from peers while the
//! store is unavailable.

mod applied;
mod config_store;
mod follow;
mod membership;
mod serve;
mod session;
mod settings;
mod state;
mod submit;

pub use applied::AppliedConfig;
pub use config_store::{
    head_key, parse_head, read_head, read_shards, shard_key, ReadError, StoredHead, HEAD_KIND,
    HEAD_NAME, SHARD_KIND,
};
pub use follow::{delay_before_fetch, jittered, neighbours, GOSSIP_FANOUT, NEIGHBOURS_MAX};
pub use membership::{Membership, MembershipTracker};
pub use serve::register_methods;
pub use session::{ParseSessionIdError, SessionId};
pub use settings::Settings;
pub use state::SharedState;
pub use submit::{submit, Submission, SubmitError, Submitted};
