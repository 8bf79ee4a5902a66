//! Settings that entries and agents share.

use std::{fs, path::PathBuf, sync::Arc};

use async_global_executor::GlobalExecutorConfig;
use clap::{Args, ValueEnum};
use rpc::PeerSecrets;
use store::HttpPlatform;
use types::{InstanceId, ZoneName};

use super::CliError;

/// Shortest accepted peer secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(crate) enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
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
    /// Internal addresses (IP:port) asked when the platform is unavailable.
    #[arg(long, env = "LIMPETGW_SEEDS", value_delimiter = ',')]
    seeds: Vec<String>,
    #[command(flatten)]
    process: ProcessArgs,
}

/// Settings that all daemons share.
#[derive(Debug, Args)]
pub(crate) struct ProcessArgs {
    /// Threads that serve requests
    #[arg(long, env = "LIMPETGW_THREADS", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=256))]
    threads: u16,
    /// Form of the log lines.
    #[arg(long, env = "LIMPETGW_LOG_FORMAT", value_enum, default_value = "json")]
    log_format: LogFormat,
    /// Least severe log level that is written: error, warn, info, debug or off.
    #[arg(long, env = "LIMPETGW_LOG_LEVEL", default_value = "info")]
    log_level: log::LevelFilter,
}

/// How to reach the platform and the other processes.
#[derive(Debug, Args)]
pub(crate) struct PlatformArgs {
    /// Address of the platform's object API and instance list (IP:port).
    #[arg(long, env = "LIMPETGW_PLATFORM")]
    platform: String,
    /// File that holds the peer secret; otherwise LIMPETGW_PEER_SECRET holds it.
    #[arg(long, env = "LIMPETGW_PEER_SECRET_FILE")]
    peer_secret_file: Option<PathBuf>,
    /// File that holds the earlier peer secret, accepted during a change;
    /// otherwise LIMPETGW_PREVIOUS_PEER_SECRET may hold it.
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
            .map(|seed| checked_addr("--seeds", seed))
            .collect()
    }

    /// Sets up the executor, logs and metrics of a daemon.
    pub(crate) fn start_process(&self) {
        self.process.start(telemetry::LogOutput::Stderr);
    }
}

impl ProcessArgs {
    /// Sets up the executor, logs and metrics of a daemon.
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
        // Called once, first thing in a daemon: no other logger exists.
        let _ = telemetry::init_log(output, format, self.log_level);
        telemetry::init_metrics();
    }
}

impl PlatformArgs {
    pub(crate) fn client(&self) -> Result<HttpPlatform, CliError> {
        let addr = checked_addr("--platform", &self.platform)?;
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
                allowed: "name a file or set LIMPETGW_PEER_SECRET".into(),
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

/// Checks an `IP:port` setting.
pub(crate) fn checked_addr(flag: &'static str, text: &str) -> Result<Arc<str>, CliError> {
    if text.parse::<std::net::SocketAddr>().is_err() {
        return Err(CliError::Setting {
            flag,
            value: text.into(),
            allowed: "an IP number and a port, as 127.0.0.1:8080 or [::1]:8080".into(),
        });
    }
    Ok(text.into())
}

/// Reads a secret from a file or else from the environment. The error never
/// shows the secret.
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
