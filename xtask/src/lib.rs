//! Chores of the project that tests check as well.

pub mod build;
pub mod demo;
pub mod docs;
pub mod measure;
