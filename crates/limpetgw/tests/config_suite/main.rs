//! Tests of configuration changes and membership with separate processes,
//! while the platform fails, operators submit concurrently and instances drain.

mod commands;
mod config;
mod console;
mod membership;
