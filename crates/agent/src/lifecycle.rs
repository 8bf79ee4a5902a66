//! Background tasks and graceful shutdown of a running agent.

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
    evidence::{load_evidence, persist_evidence},
    orders::reconcile_adapters,
};

/// Interval of the checks of deadlines, pauses and the configuration while the
/// agent holds requests.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the same checks while the agent holds no requests, and of polling
/// the signal flag. Longer, so that an idle agent uses almost no CPU time.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two probes of an unreachable upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum wait for open connections to close at the end of a shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle of a running agent.
#[derive(Debug)]
pub struct Running {
    agent: Arc<Agent>,
    addr: SocketAddr,
    server: Swansong,
}

/// Installs handlers of SIGTERM and SIGINT that set the returned flag.
pub(crate) fn register_termination_flag() -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, flag.clone())?;
    signal_hook::flag::register(SIGINT, flag.clone())?;
    Ok(flag)
}

impl Running {
    pub(crate) fn new(agent: Arc<Agent>, addr: SocketAddr, server: Swansong) -> Self {
        async_global_executor::spawn(tick(agent.clone())).detach();
        async_global_executor::spawn(watch_upstream(agent.clone())).detach();
        async_global_executor::spawn(run_background_tasks(agent.clone())).detach();
        Self {
            agent,
            addr,
            server,
        }
    }

    /// Returns the bound address of the internal listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts a drain: refuses new requests and completes the accepted ones.
    pub fn drain(&self) {
        self.agent.drain();
    }

    /// Starts a drain once `flag` is set.
    pub(crate) fn drain_when(&self, flag: Arc<AtomicBool>) {
        let agent = self.agent.clone();
        async_global_executor::spawn(async move {
            while !flag.load(Ordering::Relaxed) {
                Timer::after(IDLE_TICK_INTERVAL).await;
            }
            agent.drain();
        })
        .detach();
    }

    /// Waits until a drain has begun, all requests have ended, and the
    /// membership lag has passed since then; then closes the listener.
    pub async fn stopped(self) {
        let mut idle_since = None;
        loop {
            Timer::after(IDLE_TICK_INTERVAL).await;
            let is_idle = self.agent.scheduler.is_draining()
                && self.agent.scheduler.request_count() == 0
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

/// Waits for a configuration and loads earlier evidence. Then runs the tasks
/// that persist new evidence and load missing adapters.
async fn run_background_tasks(agent: Arc<Agent>) {
    while !agent.is_configured() {
        Timer::after(IDLE_TICK_INTERVAL).await;
    }
    load_evidence(&agent).await;
    agent.set_evidence_loaded();
    async_global_executor::spawn(reconcile_adapters(agent.clone())).detach();
    persist_evidence(agent).await;
}

/// Probes the upstream periodically while it is unreachable.
async fn watch_upstream(agent: Arc<Agent>) {
    loop {
        Timer::after(PROBE_INTERVAL).await;
        if !agent.upstream.is_reachable() {
            agent.upstream.probe().await;
        }
    }
}

async fn tick(agent: Arc<Agent>) {
    let mut generation = agent.shared.config().generation;
    loop {
        let interval = match agent.scheduler.request_count() {
            0 => IDLE_TICK_INTERVAL,
            _ => TICK_INTERVAL,
        };
        Timer::after(interval).await;
        let current = agent.shared.config().generation;
        if current != generation {
            generation = current;
            agent.reconfigure();
        }
        agent.scheduler.tick();
    }
}
