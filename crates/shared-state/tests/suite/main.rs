//! Tests of configuration, submission and membership against a store that
//! loses answers, delays writes and answers old versions.

mod eager_store;
mod fixtures;
mod flaky_store;
mod generations;
mod membership;
mod sessions;
mod spreading;
