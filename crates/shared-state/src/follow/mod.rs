//! Background tasks that keep the shared state current.

mod config;
mod instances;
mod neighbours;
mod pace;
mod peers;

pub use neighbours::{neighbours, NEIGHBOURS_MAX};
pub use pace::{delay_before_fetch, jittered};
pub use peers::GOSSIP_FANOUT;

use std::sync::Arc;

use smol::channel::Receiver;

use crate::{
    settings::Settings,
    state::{Hint, SharedState},
};

/// Starts the tasks; they run as long as the process.
pub(crate) fn spawn(state: &Arc<SharedState>, settings: Settings, hints: Receiver<Hint>) {
    let settings = Arc::new(settings);
    let tasks = || (state.clone(), settings.clone());
    let (shared, from) = tasks();
    async_global_executor::spawn(config::follow(shared, from)).detach();
    let (shared, from) = tasks();
    async_global_executor::spawn(instances::follow(shared, from)).detach();
    let (shared, from) = tasks();
    async_global_executor::spawn(instances::recheck_leaving(shared, from)).detach();
    let (shared, from) = tasks();
    async_global_executor::spawn(peers::follow_hints(shared, from, hints)).detach();
    let (shared, from) = tasks();
    let due = state.comparisons_due();
    async_global_executor::spawn(peers::compare_generations(shared, from, due)).detach();
}
