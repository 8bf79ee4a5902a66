//! Tests of the configuration document, its validation and its shards.

mod common;
mod shards;
mod snapshot;
mod validation;
