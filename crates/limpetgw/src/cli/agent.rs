//! The command `limpetgw agent`, which runs an agent.

use std::{net::SocketAddr, time::Duration};

use clap::{Args, ValueEnum};
use policy::schedule::Discipline;

use super::{
    common::{check_addr, CommonArgs},
    CliError,
};

/// Order in which queued requests are served.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
enum DisciplineArg {
    /// By the priority of the class.
    #[default]
    Classes,
    /// First in, first out; a baseline for comparison.
    Fifo,
}

/// Settings of an agent.
#[derive(Debug, Args)]
pub(crate) struct AgentArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Name of the upstream of the instance.
    #[arg(long, env = "LIMPETGW_UPSTREAM")]
    upstream: String,
    /// Address of the upstream instance that this agent serves (IP:port).
    #[arg(long, env = "LIMPETGW_UPSTREAM_ADDR")]
    upstream_addr: String,
    /// Address for dispatches from entries, internal calls and /metrics.
    #[arg(long, env = "LIMPETGW_LISTEN", default_value = "127.0.0.1:8082")]
    listen: SocketAddr,
    /// Order in which queued requests are served.
    #[arg(
        long,
        env = "LIMPETGW_DISCIPLINE",
        value_enum,
        default_value = "classes"
    )]
    discipline: DisciplineArg,
    /// Maximum time without a new token of a completion, and maximum duration
    /// of a service call, before the request fails, in milliseconds.
    #[arg(long, env = "LIMPETGW_UPSTREAM_SILENCE_MS", default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(50..=600_000))]
    upstream_silence_ms: u64,
    /// Time for which a drained agent stays reachable to refuse new dispatches
    /// after its last request has ended, in milliseconds.
    #[arg(long, env = "LIMPETGW_MEMBERSHIP_LAG_MS", default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(0..=600_000))]
    membership_lag_ms: u64,
}

impl AgentArgs {
    pub(crate) async fn run(&self) -> Result<(), CliError> {
        let discipline = match self.discipline {
            DisciplineArg::Classes => Discipline::Classes,
            DisciplineArg::Fifo => Discipline::Fifo,
        };
        let settings = agent::Settings::builder()
            .instance(self.common.instance())
            .zone(self.common.zone())
            .upstream(self.upstream.as_str().into())
            .upstream_addr(check_addr("--upstream-addr", &self.upstream_addr)?)
            .listen(self.listen)
            .platform(self.common.platform.client()?)
            .secrets(self.common.platform.secrets()?)
            .seeds(self.common.seeds()?)
            .discipline(discipline)
            .upstream_silence(Duration::from_millis(self.upstream_silence_ms))
            .membership_lag(Duration::from_millis(self.membership_lag_ms))
            .build();
        self.common.start_process();
        Ok(agent::run(settings).await?)
    }
}
