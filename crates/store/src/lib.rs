//! Client of the platform: its object API and its instance list.
//!
//! The rest of the system sees the two traits only, so that the users' own
//! platform is one adapter and tests can pass a fake.

mod api;
mod http;
mod limiter;

pub use api::{
    BoxFuture, Condition, Instance, InstanceList, InstanceSource, InstanceState, Key, Listed,
    Object, ObjectStore, Role, StoreError,
};
pub use http::HttpPlatform;
pub use limiter::{Bucket, Rates};
