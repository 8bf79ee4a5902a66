//! Exchange of crash evidence with the other agents of the upstream.

use std::{sync::Arc, time::Duration};

use futures_lite::{
    future::{self, Future},
    FutureExt,
};
use rpc::methods::ExchangeEvidence;
use smol::Timer;

use crate::agent::Agent;

/// Maximum time by which the broadcast delays the error response to an entry.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of the exchange with one agent.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of agents contacted concurrently in a broadcast.
const BROADCAST_CONCURRENCY: usize = 32;

impl Agent {
    /// Sends the evidence of this agent to every other agent of the upstream,
    /// within [`BROADCAST_TIMEOUT`].
    pub(super) async fn broadcast_evidence(&self) {
        let addrs = self.peer_addrs();
        let broadcast = async {
            for batch in addrs.chunks(BROADCAST_CONCURRENCY) {
                self.exchange_with(batch).await;
            }
        };
        let timeout = async {
            Timer::after(BROADCAST_TIMEOUT).await;
        };
        broadcast.or(timeout).await;
    }

    /// Exchanges evidence with the given agents concurrently.
    pub(super) async fn exchange_with(&self, addrs: &[Arc<str>]) {
        let exchanges = addrs.iter().map(|addr| Box::pin(self.exchange(addr)));
        join_all(exchanges.collect()).await;
    }

    /// Returns the addresses of the other agents of the upstream.
    pub(super) fn peer_addrs(&self) -> Vec<Arc<str>> {
        let membership = self.shared.membership();
        let agents = membership.agents_of(&self.settings.upstream);
        let others = agents.filter(|agent| agent.instance != self.settings.instance);
        others.map(|agent| agent.addr.clone()).collect()
    }

    async fn exchange(&self, addr: &str) {
        let evidence = self.suspects().export(self.clock.now());
        let generation = self.shared.config().generation;
        let call =
            self.peers
                .call::<ExchangeEvidence>(addr, generation, evidence, EXCHANGE_TIMEOUT);
        // An agent that does not respond gets the evidence in a later exchange.
        let Ok(answered) = call.await else {
            return;
        };
        self.shared.on_peer_generation(addr, answered.generation);
        let now = self.clock.now();
        self.suspects().merge(now, &answered.answer);
    }
}

/// Polls the futures concurrently until all have completed.
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
