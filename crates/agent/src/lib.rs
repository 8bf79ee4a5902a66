//! The agent role: the sole gate in front of one upstream instance.
//!
//! Everything that several entries would have to agree on about an upstream
//! instance (has a request started, is it leaving, how loaded is it) is
//! decided here, by one process with one state for each request.

mod agent;
mod calls;
mod clock;
mod dispatch;
mod evidence;
mod gate;
mod journal;
mod meters;
mod notify;
mod orders;
mod refusal;
mod relay;
mod server;
mod settings;
mod stop;
mod upstream;

pub use settings::Settings;
pub use stop::Running;

use std::sync::Arc;

use shared_state::SharedState;
use store::ObjectStore;
use telemetry::events::AgentEvent;

/// The agent could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address could not be bound.
    #[error("can't listen on {addr}: {reason}")]
    Listen {
        /// The address.
        addr: String,
        /// The system's word.
        reason: String,
    },
    /// The signal handler could not be installed.
    #[error("can't handle SIGTERM: {0}")]
    Signal(std::io::Error),
}

/// Runs an agent until it has drained after SIGTERM or an operator's drain.
///
/// # Errors
///
/// [`RunError`] when it can't start.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let terminate = stop::on_terminate().map_err(RunError::Signal)?;
    let platform = Arc::new(settings.platform.clone());
    let store: Arc<dyn ObjectStore> = platform.clone();
    let shared = shared_state::Settings::builder()
        .instance(settings.instance.clone())
        .store(store.clone())
        .instances(platform)
        .peers(rpc::Client::new(
            settings.instance.clone(),
            settings.secrets.clone(),
        ))
        .seeds(settings.seeds.clone())
        .build();
    let instance = settings.instance.clone();
    let running = start(settings, SharedState::start(shared), store).await?;
    announce(&instance, &running);
    running.drain_when(terminate);
    running.stopped().await;
    Ok(())
}

/// Starts an agent on a given shared state and store.
///
/// # Errors
///
/// [`RunError`] when it can't listen.
pub async fn start(
    settings: Settings,
    shared: Arc<SharedState>,
    store: Arc<dyn ObjectStore>,
) -> Result<Running, RunError> {
    let agent = Arc::new(agent::Agent::new(settings, shared, store));
    let (addr, server) = server::start(agent.clone())?;
    Ok(Running::new(agent, addr, server))
}

fn announce(instance: &types::InstanceId, running: &Running) {
    let addr = running.addr().to_string();
    let line = serde_json::json!({
        "listening": {"role": "agent", "instance": instance, "addr": addr}
    });
    println!("{line}");
    telemetry::emit(&AgentEvent::Listening {
        instance: instance.clone(),
        addr,
    });
}
