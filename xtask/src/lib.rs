//! Chores of the project that tests check as well.

pub mod docs;
