//! Development tasks of the project, as a library that its tests can use.

pub mod build;
pub mod demo;
pub mod docs;
pub mod measure;
