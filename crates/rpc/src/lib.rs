//! Typed messages between the system's own processes.
//!
//! Control is JSON-RPC over HTTP; a dispatch is one HTTP request whose
//! answer streams. Every message carries its sender and the sender's
//! configuration generation, and is refused without the peer secret.

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
