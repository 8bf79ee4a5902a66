//! The command `limpetgw gateway`, which runs a gateway.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::Args;
use gateway::{LiveSettings, RetryBound};

use super::{
    common::{check_addr, MachineArgs, ProcessArgs},
    CliError,
};

const MS_PER_S: f64 = 1_000.0;
const MILLI: f64 = 1_000.0;

/// Settings of a gateway.
#[derive(Debug, Args)]
pub(crate) struct GatewayArgs {
    /// Unique name of this process.
    #[arg(long, env = "LIMPETGW_INSTANCE")]
    instance: String,
    /// Availability zone of this process.
    #[arg(long, env = "LIMPETGW_ZONE")]
    zone: String,
    /// Address of the platform's store (IP:port).
    #[arg(long, env = "LIMPETGW_STORE")]
    store: String,
    /// Address for callers' requests.
    #[arg(long, env = "LIMPETGW_LISTEN", default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// Address for /readyz and /metrics.
    #[arg(
        long,
        env = "LIMPETGW_OPERATOR_LISTEN",
        default_value = "127.0.0.1:8081"
    )]
    operator_listen: SocketAddr,
    /// Retries that all gateways together may make for each request in the
    /// retry window.
    #[arg(long, env = "LIMPETGW_RETRY_RATIO", default_value_t = 0.2, value_parser = parse_non_negative)]
    retry_ratio: f64,
    /// Retries that all gateways together may make per retry window in addition
    /// to those of the ratio.
    #[arg(long, env = "LIMPETGW_RETRY_ALLOWANCE", default_value_t = 50.0, value_parser = parse_non_negative)]
    retry_allowance: f64,
    /// Length of the sliding window in which retries are counted, in seconds.
    #[arg(long, env = "LIMPETGW_RETRY_WINDOW_S", default_value_t = 10.0, value_parser = parse_non_negative)]
    retry_window_s: f64,
    /// Time from SIGTERM until the process is killed, in seconds. The drain ends
    /// before it.
    #[arg(long, env = "LIMPETGW_GRACE_S", default_value_t = 8.0, value_parser = parse_non_negative)]
    grace_s: f64,
    /// Time for which an instance that leaves takes requests, in milliseconds.
    #[arg(long, env = "LIMPETGW_INSTANCE_DRAIN_MS", default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(0..=86_400))]
    instance_drain_ms: u64,
    /// Time for which the balancer may still open connections after /readyz has
    /// started to report not ready, in milliseconds.
    #[arg(long, env = "LIMPETGW_BALANCER_LAG_MS", default_value_t = 2_500, value_parser = clap::value_parser!(u64).range(0..=600_000))]
    balancer_lag_ms: u64,
    /// Treat all instances of an upstream as equally fast instead of learning
    /// their capacity from responses.
    #[arg(long, env = "LIMPETGW_FIXED_CAPACITY")]
    fixed_capacity: bool,
    /// JSON file with `retry_ratio`, `retry_allowance`, `retry_window_s`,
    /// `grace_s` and `drain_ms`, whose values override the flags, and with the settings
    /// of the duties. It is reloaded on SIGHUP and every two seconds.
    #[arg(long, env = "LIMPETGW_CONFIG")]
    settings_file: Option<PathBuf>,
    /// Address (IP:port) of the link to other gateways, which they must be able
    /// to reach; without it there is no link.
    #[arg(long, env = "LIMPETGW_PEER_LISTEN")]
    peer_listen: Option<SocketAddr>,
    /// Share of a processor core that this process has.
    #[arg(long, env = "LIMPETGW_CPU_SHARE", default_value_t = 1.0, value_parser = parse_non_negative)]
    cpu_share: f64,
    #[command(flatten)]
    process: ProcessArgs,
    #[command(flatten)]
    machine: MachineArgs,
}

impl GatewayArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        if self.listen == self.operator_listen && self.listen.port() != 0 {
            return Err(CliError::Setting {
                flag: "--operator-listen",
                value: self.operator_listen.to_string(),
                allowed: "an address other than --listen".into(),
            });
        }
        if let Some(addr) = self.peer_listen.filter(|addr| addr.ip().is_unspecified()) {
            return Err(CliError::Setting {
                flag: "--peer-listen",
                value: addr.to_string(),
                allowed: "an address that other gateways can reach".into(),
            });
        }
        let store_addr = check_addr("--store", &self.store)?;
        let settings = gateway::Settings::builder()
            .instance(self.instance.as_str().into())
            .zone(self.zone.as_str().into())
            .listen(self.listen)
            .operator_listen(self.operator_listen)
            .store_addr(store_addr.clone())
            .live(LiveSettings {
                retry_bound: RetryBound {
                    ratio: self.retry_ratio,
                    allowance: self.retry_allowance,
                    window_ms: (self.retry_window_s * MS_PER_S) as u64,
                },
                grace: Duration::from_secs_f64(self.grace_s),
                instance_drain: Duration::from_millis(self.instance_drain_ms),
            })
            .maybe_file(self.settings_file.clone())
            .balancer_lag(Duration::from_millis(self.balancer_lag_ms))
            .maybe_peer_listen(self.peer_listen)
            .strength((self.cpu_share * MILLI) as u32)
            .learn_capacity(!self.fixed_capacity)
            .machine(self.machine.machine())
            .build();
        self.process.start(telemetry::LogOutput::Stdout);
        let result = gateway::run(settings, platform::adapter(&store_addr)).await;
        telemetry::flush_log();
        Ok(result?)
    }
}

/// Parses a number from 0 to 86,400, the number of seconds in a day.
fn parse_non_negative(text: &str) -> Result<f64, String> {
    const MAX: f64 = 86_400.0;
    match text.parse::<f64>() {
        Ok(value) if (0.0..=MAX).contains(&value) => Ok(value),
        Ok(_) => Err(format!("a number from 0 to {MAX}")),
        Err(error) => Err(error.to_string()),
    }
}
