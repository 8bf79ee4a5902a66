//! The agent's queue and running set in front of one upstream instance.
//!
//! The scheduler owns the state of every request that the agent holds. Its
//! owner calls it under one lock and carries out the returned [`Action`]s.

mod admit;
mod class_queue;
mod estimate;
mod job;
mod lane;
mod limit;
mod memory;
mod pause;
mod pick;
mod scheduler;
mod settings;
mod share;
mod table;

pub use job::{Action, End, Job, LoadReport, Recall};
pub use scheduler::Scheduler;
pub use settings::{ClassRules, Discipline, Settings};
