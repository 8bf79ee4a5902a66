//! Tests of configuration, submission and membership, with a store that loses
//! responses, delays writes and returns old versions.

mod fixtures;
mod flaky_store;
mod generations;
mod immediate_watch;
mod membership;
mod propagation;
mod submission;
