//! Tests of the pure parts of the relay.
