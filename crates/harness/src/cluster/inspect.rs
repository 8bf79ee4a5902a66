//! Inspection of a cluster: readiness, counters, responses and ledgers.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use standins::{
    caller::ChatRequest,
    engine::Stats,
    service::{Ledger, LedgerLine, Run},
};
use trillium_client::Method;

use super::{Cluster, Kind, Member};
use crate::{
    http::{call, call_json},
    HarnessError, Process,
};

/// Interval at which an awaited condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a readiness probe request.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Prompt of the readiness probe request; its completion has one token.
const PROBE_PROMPT: &str = "ready? [len=1]";

impl Cluster {
    /// Waits until every entry has returned a complete response to a probe
    /// request, or reports readiness if the cluster has no engines.
    ///
    /// # Errors
    ///
    /// Returns [`HarnessError::Timeout`] if an entry is not ready in time.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + timeout;
        for index in 0..self.count(&Kind::Entry) {
            self.wait_entry_ready(index, deadline, timeout).await?;
        }
        Ok(())
    }

    /// Waits until every agent accepts requests; requires that all agents run.
    pub(super) async fn wait_agents_ready(&self, timeout: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + timeout;
        let is_agent = |member: &&Member| matches!(member.kind, Kind::Agent { .. });
        for agent in self.members.values().filter(is_agent) {
            self.wait_agent_ready(&agent.process, deadline, timeout)
                .await?;
        }
        Ok(())
    }

    /// Waits until `/readyz` of an agent returns 200. An agent refuses all
    /// requests until it has received a configuration.
    async fn wait_agent_ready(
        &self,
        agent: &Process,
        deadline: Instant,
        timeout: Duration,
    ) -> Result<(), HarnessError> {
        let url = format!("http://{}/readyz", agent.internal_addr());
        loop {
            let last_seen = match call(&self.http, Method::Get, &url, None).await {
                Ok(response) if response.status == 200 => return Ok(()),
                Ok(response) => format!("status {}", response.status),
                Err(error) => error.to_string(),
            };
            if Instant::now() >= deadline {
                return Err(HarnessError::Timeout {
                    what: format!("readiness of {}", agent.name()),
                    timeout_ms: timeout.as_millis(),
                    last_seen,
                });
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn wait_entry_ready(
        &self,
        index: usize,
        deadline: Instant,
        timeout: Duration,
    ) -> Result<(), HarnessError> {
        let caller = self.caller(index).with_timeout(PROBE_TIMEOUT);
        let url = format!("http://{}/readyz", self.entry_addr(index)?);
        loop {
            let last_seen = if self.plan.engines > 0 {
                let reply = caller.chat(&ChatRequest::buffered(PROBE_PROMPT)).await;
                if reply.outcome.is_complete() {
                    return Ok(());
                }
                format!("{:?} {}", reply.outcome, reply.body)
            } else {
                match call(&self.http, Method::Get, &url, None).await {
                    Ok(response) if response.status == 200 => return Ok(()),
                    Ok(response) => format!("status {}", response.status),
                    Err(error) => error.to_string(),
                }
            };
            if Instant::now() >= deadline {
                return Err(HarnessError::Timeout {
                    what: format!("readiness of entry-{index}"),
                    timeout_ms: timeout.as_millis(),
                    last_seen,
                });
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Returns the counters of an engine since its last start.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process does not respond.
    pub async fn stats(&self, engine: &str) -> Result<Stats, HarnessError> {
        let url = format!("http://{}/stats", self.process(engine)?.addr());
        let stats = call_json(&self.http, Method::Get, &url, None).await?;
        serde_json::from_value(stats).map_err(|error| HarnessError::Call {
            url,
            reason: error.to_string(),
        })
    }

    /// Returns the number of running requests from the load report of an engine.
    /// The report is delayed unless the engine has `--load-lag-ms 0`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process does not respond.
    pub async fn running_requests(&self, engine: &str) -> Result<usize, HarnessError> {
        let url = format!("http://{}/load", self.process(engine)?.addr());
        let load = call_json(&self.http, Method::Get, &url, None).await?;
        Ok(load["running"].as_u64().unwrap_or(0) as usize)
    }

    /// Sends a GET, such as for `/metrics`, to the internal address of a process;
    /// returns the status and the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process does not respond.
    pub async fn get_internal(
        &self,
        name: &str,
        path: &str,
    ) -> Result<(u16, String), HarnessError> {
        let url = format!("http://{}{path}", self.process(name)?.internal_addr());
        let response = call(&self.http, Method::Get, &url, None).await?;
        Ok((response.status, response.body))
    }

    /// Returns the runs that all plain services have recorded, including those of
    /// processes that have crashed.
    pub fn ledger(&mut self) -> Ledger {
        let mut runs = Vec::new();
        for member in self.members.values_mut() {
            if member.kind == Kind::Service {
                add_runs(member.process.ledger(), &mut runs);
            }
        }
        Ledger { runs }
    }
}

/// Adds the runs of one service; the line of a finished run replaces the line
/// of its start.
fn add_runs(lines: &[LedgerLine], runs: &mut Vec<Run>) {
    let mut index_by_number: IndexMap<usize, usize> = IndexMap::new();
    for line in lines {
        if line.run.finished {
            if let Some(index) = index_by_number.get(&line.number) {
                runs[*index] = line.run.clone();
                continue;
            }
        }
        // A restarted service numbers its runs from 0 again.
        index_by_number.insert(line.number, runs.len());
        runs.push(line.run.clone());
    }
}
