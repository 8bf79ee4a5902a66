//! Filters that validate and admit a request before it is dispatched, one per
//! module.

pub mod chat_body;
pub mod request_id;

pub(crate) mod admit;
pub(crate) mod classify;
pub(crate) mod head;
pub(crate) mod identify;
pub(crate) mod quarantine;
pub(crate) mod read_body;
