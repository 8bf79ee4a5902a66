//! Exchanges evidence with the other agents of the upstream.

use std::{sync::Arc, time::Duration};

use futures_lite::{
    future::{self, Future},
    FutureExt,
};
use rpc::methods::ExchangeEvidence;
use smol::Timer;

use crate::agent::Agent;

/// Longest time that the failure of a request is held back for the evidence.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for one agent.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Agents told at once.
const TOLD_AT_ONCE: usize = 32;

impl Agent {
    /// Tells every agent of the upstream what is known here.
    pub(super) async fn tell_agents(&self) {
        let addrs = self.peer_addrs();
        let tell = async {
            for some in addrs.chunks(TOLD_AT_ONCE) {
                self.exchange_with(some).await;
            }
        };
        let timeout = async {
            Timer::after(TELL_TIMEOUT).await;
        };
        tell.or(timeout).await;
    }

    /// Exchanges evidence with some agents at once.
    pub(super) async fn exchange_with(&self, addrs: &[Arc<str>]) {
        let exchanges = addrs.iter().map(|addr| Box::pin(self.exchange(addr)));
        join_all(exchanges.collect()).await;
    }

    /// Addresses of the other agents of the upstream.
    pub(super) fn peer_addrs(&self) -> Vec<Arc<str>> {
        let membership = self.shared.membership();
        let agents = membership.agents_of(&self.settings.upstream);
        let others = agents.filter(|agent| agent.instance != self.settings.instance);
        others.map(|agent| agent.addr.clone()).collect()
    }

    async fn exchange(&self, addr: &str) {
        let known = self.suspects().export(self.clock.now());
        let generation = self.shared.config().generation;
        let call = self
            .peers
            .call::<ExchangeEvidence>(addr, generation, known, EXCHANGE_TIMEOUT);
        // A silent agent learns later, from another exchange.
        let Ok(answered) = call.await else {
            return;
        };
        self.shared.on_peer_generation(addr, answered.generation);
        let now = self.clock.now();
        self.suspects().merge(now, &answered.answer);
    }
}

/// Waits until all futures have ended.
async fn join_all<F: Future<Output = ()> + Unpin>(mut futures: Vec<F>) {
    future::poll_fn(|cx| {
        futures.retain_mut(|future| future.poll(cx).is_pending());
        match futures.is_empty() {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
}
