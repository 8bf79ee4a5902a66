//! A running agent and its graceful shutdown.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use smol::Timer;
use telemetry::events::AgentEvent;
use trillium::Swansong;

use crate::{
    agent::Agent,
    evidence::{keep, recall_evidence},
    orders::reconcile,
};

/// Time between two looks at deadlines, pauses and the configuration while
/// the agent holds requests.
const TICK: Duration = Duration::from_millis(25);
/// The same while it holds none, and between two looks at the flag that a
/// signal sets: an idle agent must cost next to nothing.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Time between two connects to an upstream that was unreachable.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for the connections to close at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// An agent that serves.
#[derive(Debug)]
pub struct Running {
    agent: Arc<Agent>,
    addr: SocketAddr,
    server: Swansong,
}

/// The flag that SIGTERM and SIGINT set.
pub(crate) fn on_terminate() -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, flag.clone())?;
    signal_hook::flag::register(SIGINT, flag.clone())?;
    Ok(flag)
}

impl Running {
    pub(crate) fn new(agent: Arc<Agent>, addr: SocketAddr, server: Swansong) -> Self {
        async_global_executor::spawn(tick(agent.clone())).detach();
        async_global_executor::spawn(watch_upstream(agent.clone())).detach();
        async_global_executor::spawn(inform(agent.clone())).detach();
        Self {
            agent,
            addr,
            server,
        }
    }

    /// The bound address of the internal listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.agent.drain();
    }

    /// Drains once `flag` is set.
    pub(crate) fn drain_when(&self, flag: Arc<AtomicBool>) {
        let agent = self.agent.clone();
        async_global_executor::spawn(async move {
            while !flag.load(Ordering::Relaxed) {
                Timer::after(IDLE_TICK).await;
            }
            agent.drain();
        })
        .detach();
    }

    /// Waits until the agent was drained, has ended all requests and has
    /// stayed reachable for the membership lag after that.
    pub async fn stopped(self) {
        let mut idle_since = None;
        loop {
            Timer::after(IDLE_TICK).await;
            let is_idle = self.agent.gate.is_draining()
                && self.agent.gate.held() == 0
                && self.agent.in_flight.count() == 0;
            idle_since = match is_idle {
                true => idle_since.or_else(|| Some(Instant::now())),
                false => None,
            };
            let lag = self.agent.settings.membership_lag;
            if idle_since.is_some_and(|since| since.elapsed() >= lag) {
                break;
            }
        }
        telemetry::emit(&AgentEvent::DrainFinished {
            instance: self.agent.settings.instance.clone(),
        });
        let close = async {
            self.server.shut_down().await;
        };
        let timeout = async {
            Timer::after(CLOSE_TIMEOUT).await;
        };
        close.or(timeout).await;
    }
}

/// Once the agent knows its peers: looks for earlier evidence, and from then
/// on keeps new evidence and orders what the engine lacks.
async fn inform(agent: Arc<Agent>) {
    while !agent.is_configured() {
        Timer::after(IDLE_TICK).await;
    }
    recall_evidence(&agent).await;
    agent.set_informed();
    async_global_executor::spawn(reconcile(agent.clone())).detach();
    keep(agent).await;
}

/// Looks whether an upstream that was unreachable is back.
async fn watch_upstream(agent: Arc<Agent>) {
    loop {
        Timer::after(PROBE_PAUSE).await;
        if !agent.upstream.is_reachable() {
            agent.upstream.probe().await;
        }
    }
}

async fn tick(agent: Arc<Agent>) {
    let mut generation = agent.shared.config().generation;
    loop {
        let pause = match agent.gate.held() {
            0 => IDLE_TICK,
            _ => TICK,
        };
        Timer::after(pause).await;
        let now_in_force = agent.shared.config().generation;
        if now_in_force != generation {
            generation = now_in_force;
            agent.reconfigure();
        }
        agent.gate.tick();
    }
}
