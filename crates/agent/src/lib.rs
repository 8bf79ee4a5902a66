//! The agent role: the single proxy in front of one upstream instance.
//!
//! Several entries send requests to the same instance. The state that they
//! would otherwise have to agree on (whether a request has started, whether
//! the instance is draining, its load) is kept in this one process.

mod agent;
mod clock;
mod dispatch;
mod evidence;
mod lifecycle;
mod meters;
mod notify;
mod orders;
mod refusal;
mod relay;
mod request_events;
mod rpc_methods;
mod scheduler;
mod server;
mod settings;
mod upstream;

pub use lifecycle::Running;
pub use settings::Settings;

use std::sync::Arc;

use shared_state::SharedState;
use store::ObjectStore;
use telemetry::events::AgentEvent;

/// Failure to start an agent.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The address of the internal listener could not be bound.
    #[error("cannot listen on {addr}: {reason}")]
    Listen {
        /// Address from [`Settings::listen`].
        addr: String,
        /// Message of the I/O error.
        reason: String,
    },
    /// The handlers of SIGTERM and SIGINT could not be installed.
    #[error("cannot install the handlers of SIGTERM and SIGINT: {0}")]
    Signal(std::io::Error),
}

/// Runs an agent until it has drained after SIGTERM, SIGINT or a drain call.
///
/// # Errors
///
/// Returns [`RunError`] if the signal handlers or the listener cannot be set up.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let terminate = lifecycle::register_termination_flag().map_err(RunError::Signal)?;
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
    report_listening(&instance, &running);
    running.drain_when(terminate);
    running.stopped().await;
    Ok(())
}

/// Starts an agent with the given shared state and object store.
///
/// # Errors
///
/// Returns [`RunError::Listen`] if the listener cannot be bound.
pub async fn start(
    settings: Settings,
    shared: Arc<SharedState>,
    store: Arc<dyn ObjectStore>,
) -> Result<Running, RunError> {
    let agent = Arc::new(agent::Agent::new(settings, shared, store));
    let (addr, server) = server::start(agent.clone())?;
    Ok(Running::new(agent, addr, server))
}

fn report_listening(instance: &types::InstanceId, running: &Running) {
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
