//! Typed messages between the processes of a deployment.
//!
//! Control calls use JSON-RPC over HTTP. A dispatch is one HTTP request with a
//! streamed response. Every message carries its sender and the sender's
//! configuration generation, and is refused if it lacks the peer secret.

mod client;
mod dispatch;
pub mod methods;
mod secret;
mod server;
mod traffic;

pub use client::{CallError, Client};
pub use dispatch::{
    DispatchMeta, DispatchReply, Target, DISPATCH_HEADER, DISPATCH_PATH, PEER_HEADER, REPLY_HEADER,
    RPC_PATH, UPSTREAM_STATUS_HEADER,
};
pub use secret::PeerSecrets;
pub use server::{is_from_peer, reject_unauthenticated, MethodError, Methods};
