//! Connection pool and HTTP/1.1 client for instances.
//!
//! The HTTP client of the other roles reads a dropped response to its end in
//! the background, normalizes paths and discards surplus bytes. The gateway
//! needs the opposite: dropping a response must cancel the work of the
//! instance, the path must be forwarded unchanged, and surplus bytes must never
//! be taken for the response to a later request. It therefore uses hyper's
//! connection API directly.

mod connection;
mod instance_stream;
mod pool;
mod request_body;

pub(crate) use connection::{Connection, ExchangeError, NotSent, Response};
pub(crate) use pool::{ConnectError, Lease, Pool};
