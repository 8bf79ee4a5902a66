//! `limpetgw agent`.

use std::{net::SocketAddr, time::Duration};

use clap::{Args, ValueEnum};
use policy::schedule::Discipline;

use super::{
    common::{checked_addr, CommonArgs},
    CliError,
};

/// Order of service.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
enum DisciplineArg {
    /// By class.
    #[default]
    Classes,
    /// First in, first out (for comparison).
    Fifo,
}

/// Settings of an agent.
#[derive(Debug, Args)]
pub(crate) struct AgentArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Name of the upstream that the instance belongs to.
    #[arg(long, env = "LIMPETGW_UPSTREAM")]
    upstream: String,
    /// Address of the upstream instance beside this agent (IP:port).
    #[arg(long, env = "LIMPETGW_UPSTREAM_ADDR")]
    upstream_addr: String,
    /// Internal address: dispatches, calls and /metrics.
    #[arg(long, env = "LIMPETGW_LISTEN", default_value = "127.0.0.1:8082")]
    listen: SocketAddr,
    /// Order of service.
    #[arg(
        long,
        env = "LIMPETGW_DISCIPLINE",
        value_enum,
        default_value = "classes"
    )]
    discipline: DisciplineArg,
    /// Longest silence of the upstream within an answer, in milliseconds.
    #[arg(long, env = "LIMPETGW_UPSTREAM_SILENCE_MS", default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(50..=600_000))]
    upstream_silence_ms: u64,
    /// Time for which a drained agent still answers new dispatches, in milliseconds.
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
            .upstream_addr(checked_addr("--upstream-addr", &self.upstream_addr)?)
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
