//! The cases, one module each.

pub mod expect_continue;
pub mod failing_engines;
pub mod frozen_gateway;
pub mod leaving_engines;
pub mod revoked_key;
