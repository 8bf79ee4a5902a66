//! Client of the platform: its object API and its instance list.
//!
//! The rest of the system sees the two traits only, so that tests can pass a
//! fake. Adapters to other platforms make their calls through [`StoreClient`].

mod api;
mod client;
mod http;
mod limiter;

pub use api::{
    BoxFuture, Condition, Instance, InstanceList, InstanceSource, InstanceState, Key, Listed,
    Object, ObjectStore, Role, StoreError,
};
pub use client::{unexpected_status, StoreClient, StoreResponse};
pub use http::HttpPlatform;
pub use limiter::{CallKind, RateLimits, TokenBucket};
