//! Client of the platform's object store and instance list.
//!
//! Other crates depend only on the traits [`ObjectStore`] and
//! [`InstanceSource`], so that tests can replace the client by a fake. Adapters
//! for other platforms make their calls through [`StoreClient`].

mod api;
mod client;
mod connector;
mod era;
mod http;
mod json_text;
mod limiter;

pub use api::{
    BoxFuture, Condition, Instance, InstanceList, InstanceSource, InstanceState, Key, Listed,
    Object, ObjectStore, Role, StoreError,
};
pub use client::{unexpected_status, StoreClient, StoreResponse};
pub use era::{Era, Position};
pub use http::{path_segment, HttpPlatform};
pub use limiter::{CallKind, RateLimits, TokenBucket};
