//! The command `limpetgw entry`, which runs an entry.

use std::{net::SocketAddr, time::Duration};

use clap::{Args, ValueEnum};
use policy::choice::Rule;

use super::{
    common::{CommonArgs, MachineArgs},
    CliError,
};

const SECONDS_PER_HOUR: u64 = 3_600;

/// Load-balancing rule.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
enum RuleArg {
    /// Lowest estimated load: reported load that decays with the age of the
    /// report, corrected by the entry's own observations.
    #[default]
    Aged,
    /// Each instance in turn; a baseline for comparison.
    RoundRobin,
    /// Lowest reported load; a baseline for comparison.
    LeastUsed,
}

/// Settings of an entry.
#[derive(Debug, Args)]
pub(crate) struct EntryArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Address for callers' requests.
    #[arg(long, env = "LIMPETGW_LISTEN", default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// Address for /metrics and internal calls from other processes.
    #[arg(
        long,
        env = "LIMPETGW_OPERATOR_LISTEN",
        default_value = "127.0.0.1:8081"
    )]
    operator_listen: SocketAddr,
    /// Load-balancing rule that selects the upstream instance of a request.
    #[arg(long, env = "LIMPETGW_RULE", value_enum, default_value = "aged")]
    rule: RuleArg,
    /// Maximum number of instances of one upstream that this entry uses.
    #[arg(long, env = "LIMPETGW_SUBSET_MAX", default_value_t = 16, value_parser = clap::value_parser!(u16).range(1..=256))]
    subset_max: u16,
    /// Timeout for callers that send the request or read the response too
    /// slowly, in milliseconds.
    #[arg(long, env = "LIMPETGW_REQUEST_TIMEOUT_MS", default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(100..=600_000))]
    request_timeout_ms: u64,
    /// Time for which a draining entry still accepts new requests, until the
    /// balancer has stopped sending them, in milliseconds.
    #[arg(long, env = "LIMPETGW_BALANCER_LAG_MS", default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(0..=600_000))]
    balancer_lag_ms: u64,
    /// Time for which the outcome of an at-most-once request is stored, in
    /// hours; afterwards its idempotency key counts as new.
    #[arg(long, env = "LIMPETGW_CLAIM_RETENTION_H", default_value_t = 48, value_parser = clap::value_parser!(u64).range(1..=8_760))]
    claim_retention_h: u64,
    #[command(flatten)]
    machine: MachineArgs,
}

impl EntryArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        if self.listen == self.operator_listen && self.listen.port() != 0 {
            return Err(CliError::Setting {
                flag: "--operator-listen",
                value: self.operator_listen.to_string(),
                allowed: "an address other than --listen".into(),
            });
        }
        let rule = match self.rule {
            RuleArg::Aged => Rule::Aged,
            RuleArg::RoundRobin => Rule::RoundRobin,
            RuleArg::LeastUsed => Rule::LeastUsed,
        };
        let settings = entry::Settings::builder()
            .instance(self.common.instance())
            .zone(self.common.zone())
            .listen(self.listen)
            .operator_listen(self.operator_listen)
            .platform(self.common.platform.client()?)
            .secrets(self.common.platform.secrets()?)
            .seeds(self.common.seeds()?)
            .rule(rule)
            .subset_max(usize::from(self.subset_max))
            .request_timeout(Duration::from_millis(self.request_timeout_ms))
            .balancer_lag(Duration::from_millis(self.balancer_lag_ms))
            .machine(self.machine.machine())
            .claim_retention(Duration::from_secs(
                self.claim_retention_h * SECONDS_PER_HOUR,
            ))
            .build();
        self.common.start_process();
        Ok(entry::run(settings).await?)
    }
}
