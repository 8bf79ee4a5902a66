//! Settings that several commands share.

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use async_global_executor::GlobalExecutorConfig;
use clap::{Args, ValueEnum};
use policy::client_limits::Machine;
use rpc::PeerSecrets;
use store::HttpPlatform;
use types::{InstanceId, ZoneName};

use super::CliError;

/// Interval at which recorded metrics are compacted.
const METRICS_COMPACTION_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum length of a peer secret.
const SECRET_MIN_BYTES: usize = 16;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(crate) enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// Settings that entries and agents share.
#[derive(Debug, Args)]
pub(crate) struct CommonArgs {
    /// Unique name of this process.
    #[arg(long, env = "LIMPETGW_INSTANCE")]
    instance: String,
    /// Availability zone of this process.
    #[arg(long, env = "LIMPETGW_ZONE")]
    zone: String,
    #[command(flatten)]
    pub(crate) platform: PlatformArgs,
    /// Internal addresses (IP:port) of entries or agents that provide the
    /// configuration and the instance list while the platform is unavailable.
    #[arg(long, env = "LIMPETGW_SEEDS", value_delimiter = ',')]
    seeds: Vec<String>,
    #[command(flatten)]
    process: ProcessArgs,
}

/// Settings that all daemons share.
#[derive(Debug, Args)]
pub(crate) struct ProcessArgs {
    /// Number of threads that serve requests.
    #[arg(long, env = "LIMPETGW_THREADS", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=256))]
    threads: u16,
    /// Format of the log.
    #[arg(long, env = "LIMPETGW_LOG_FORMAT", value_enum, default_value = "json")]
    log_format: LogFormat,
    /// Least severe level that is logged: error, warn, info, debug or off.
    #[arg(long, env = "LIMPETGW_LOG_LEVEL", default_value = "info")]
    log_level: log::LevelFilter,
}

/// What the machine has for a process that serves callers.
#[derive(Debug, Args)]
pub(crate) struct MachineArgs {
    /// Memory of the machine, in MB of 1,048,576 bytes; by default the lowest of the
    /// limits of the process, its control group and the machine.
    #[arg(long, env = "LIMPETGW_MEMORY_LIMIT_MB", value_parser = clap::value_parser!(u32).range(16..=1_048_576))]
    memory_limit_mb: Option<u32>,
    /// Maximum number of open file descriptors; by default the limit of the process.
    #[arg(long, env = "LIMPETGW_DESCRIPTORS_MAX", value_parser = clap::value_parser!(u32).range(256..=16_777_216))]
    descriptors_max: Option<u32>,
}

impl MachineArgs {
    pub(crate) fn machine(&self) -> Machine {
        let own = net::own_machine();
        let memory_bytes = self.memory_limit_mb.map(|mb| (mb as usize) << 20);
        let descriptors_max = self.descriptors_max.map(|max| max as usize);
        Machine {
            memory_bytes: memory_bytes.unwrap_or(own.memory_bytes),
            descriptors_max: descriptors_max
                .unwrap_or(own.descriptors_max)
                .min(own.descriptors_max),
        }
    }
}

/// Address of the platform and secrets for calls between processes.
#[derive(Debug, Args)]
pub(crate) struct PlatformArgs {
    /// Address of the platform's object API and instance list (IP:port).
    #[arg(long, env = "LIMPETGW_PLATFORM")]
    platform: String,
    /// File with the peer secret; without it, the secret is read from
    /// LIMPETGW_PEER_SECRET.
    #[arg(long, env = "LIMPETGW_PEER_SECRET_FILE")]
    peer_secret_file: Option<PathBuf>,
    /// File with the previous peer secret, which is accepted during a rotation;
    /// without it, the secret is read from LIMPETGW_PREVIOUS_PEER_SECRET if
    /// set.
    #[arg(long, env = "LIMPETGW_PREVIOUS_PEER_SECRET_FILE")]
    previous_peer_secret_file: Option<PathBuf>,
}

impl CommonArgs {
    pub(crate) fn instance(&self) -> InstanceId {
        self.instance.as_str().into()
    }

    pub(crate) fn zone(&self) -> ZoneName {
        self.zone.as_str().into()
    }

    pub(crate) fn seeds(&self) -> Result<Vec<Arc<str>>, CliError> {
        self.seeds
            .iter()
            .map(|seed| check_addr("--seeds", seed))
            .collect()
    }

    /// Initializes the executor, log and metrics; the log goes to stderr.
    pub(crate) fn start_process(&self) {
        self.process.start(telemetry::LogOutput::Stderr);
    }
}

impl ProcessArgs {
    /// Initializes the executor, log and metrics of a daemon.
    pub(crate) fn start(&self, output: telemetry::LogOutput) {
        let threads = usize::from(self.threads);
        let config = GlobalExecutorConfig::default()
            .with_min_threads(threads)
            .with_max_threads(threads);
        async_global_executor::init_with_config(config);
        let format = match self.log_format {
            LogFormat::Json => telemetry::LogFormat::Json,
            LogFormat::Text => telemetry::LogFormat::Text,
        };
        // Fails only if a logger is already installed. This runs once per
        // process, before anything else installs one.
        let _ = telemetry::init_log(output, format, self.log_level);
        telemetry::init_metrics();
        async_global_executor::spawn(compact_metrics_periodically()).detach();
    }
}

/// Bounds the memory of metrics that nobody reads. Never returns.
async fn compact_metrics_periodically() {
    loop {
        smol::Timer::after(METRICS_COMPACTION_INTERVAL).await;
        telemetry::compact_metrics();
    }
}

impl PlatformArgs {
    pub(crate) fn client(&self) -> Result<HttpPlatform, CliError> {
        let addr = check_addr("--platform", &self.platform)?;
        Ok(HttpPlatform::new(&addr))
    }

    pub(crate) fn secrets(&self) -> Result<Arc<PeerSecrets>, CliError> {
        let current = read_secret(
            "--peer-secret-file",
            self.peer_secret_file.as_ref(),
            "LIMPETGW_PEER_SECRET",
        )?;
        let Some(current) = current else {
            return Err(CliError::Setting {
                flag: "--peer-secret-file",
                value: String::new(),
                allowed: "a file with the secret, or the secret in LIMPETGW_PEER_SECRET".into(),
            });
        };
        let previous = read_secret(
            "--previous-peer-secret-file",
            self.previous_peer_secret_file.as_ref(),
            "LIMPETGW_PREVIOUS_PEER_SECRET",
        )?;
        Ok(Arc::new(PeerSecrets::new(current, previous)))
    }
}

/// Checks that a setting is an `IP:port` address.
pub(crate) fn check_addr(flag: &'static str, text: &str) -> Result<Arc<str>, CliError> {
    if text.parse::<std::net::SocketAddr>().is_err() {
        return Err(CliError::Setting {
            flag,
            value: text.into(),
            allowed: "an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080".into(),
        });
    }
    Ok(text.into())
}

/// Reads a secret from a file, or from an environment variable if no file is
/// given. Returns `None` if neither is set. Errors never contain the secret.
fn read_secret(
    flag: &'static str,
    file: Option<&PathBuf>,
    variable: &str,
) -> Result<Option<Arc<str>>, CliError> {
    let text = match file {
        Some(path) => fs::read_to_string(path).map_err(|error| CliError::Setting {
            flag,
            value: path.display().to_string(),
            allowed: format!("a readable file ({error})"),
        })?,
        None => match std::env::var(variable) {
            Ok(text) => text,
            Err(_) => return Ok(None),
        },
    };
    let secret = text.trim();
    if secret.len() < SECRET_MIN_BYTES {
        return Err(CliError::Setting {
            flag,
            value: format!("a secret of {} bytes", secret.len()),
            allowed: format!("at least {SECRET_MIN_BYTES} bytes"),
        });
    }
    Ok(Some(secret.into()))
}
