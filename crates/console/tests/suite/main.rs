//! Tests of the operators' forms, differences and keys.

mod differences;
mod forms;
mod keys;
