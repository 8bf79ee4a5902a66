//! Background tasks that keep the shared state current.

mod config;
mod instances;
mod neighbours;
mod peers;
mod timing;

pub use neighbours::{neighbours, NEIGHBOURS_MAX};
pub use peers::GOSSIP_FANOUT;
pub use timing::{delay_before_fetch, jittered};

use std::sync::Arc;

use smol::channel::Receiver;

use crate::{
    settings::Settings,
    state::{Hint, SharedState},
};

/// Starts the tasks, which run until the process ends.
pub(crate) fn spawn(state: &Arc<SharedState>, settings: Settings, hints: Receiver<Hint>) {
    let settings = Arc::new(settings);
    let handles = || (state.clone(), settings.clone());
    let (task_state, task_settings) = handles();
    async_global_executor::spawn(config::watch_config(task_state, task_settings)).detach();
    let (task_state, task_settings) = handles();
    async_global_executor::spawn(instances::watch_instances(task_state, task_settings)).detach();
    let (task_state, task_settings) = handles();
    async_global_executor::spawn(instances::recheck_leaving(task_state, task_settings)).detach();
    let (task_state, task_settings) = handles();
    async_global_executor::spawn(peers::fetch_on_hints(task_state, task_settings, hints)).detach();
    let (task_state, task_settings) = handles();
    let comparisons_due = state.comparisons_due();
    async_global_executor::spawn(peers::compare_generations(
        task_state,
        task_settings,
        comparisons_due,
    ))
    .detach();
}
