//! Tests of form sessions, document differences and API keys.

mod differences;
mod forms;
mod keys;
