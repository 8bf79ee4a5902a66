//! Scheduler of the agent in front of one upstream instance.
//!
//! The scheduler queues requests, decides which of them run, and owns the state
//! of every request that the agent holds. The agent calls it under a single
//! lock and carries out the returned [`Action`]s.

mod admit;
mod class_queue;
mod estimate;
mod history;
mod job;
mod lane;
mod limit;
mod pause;
mod pick;
mod scheduler;
mod settings;
mod share;
mod table;

pub use job::{Action, End, Job, LoadReport, Recall};
pub use scheduler::Scheduler;
pub use settings::{ClassRules, Discipline, Settings};
