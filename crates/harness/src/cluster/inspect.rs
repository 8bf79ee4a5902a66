//! Looks at a fleet: readiness, counters, answers and ledgers.

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

/// Pause between two looks at something awaited.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Patience of a trial question.
const TRIAL_LIMIT: Duration = Duration::from_secs(2);
/// The question that shows that an entry serves; one token.
const TRIAL_PROMPT: &str = "ready? [len=1]";

impl Cluster {
    /// Waits until every entry has answered a trial question whole.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Timeout`].
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + limit;
        for index in 0..self.count(&Kind::Entry) {
            self.wait_entry_ready(index, deadline, limit).await?;
        }
        Ok(())
    }

    /// Waits until every agent takes work; for a fleet in which all run.
    pub(super) async fn wait_agents_ready(&self, limit: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + limit;
        let is_agent = |member: &&Member| matches!(member.kind, Kind::Agent { .. });
        for agent in self.members.values().filter(is_agent) {
            self.wait_agent_ready(&agent.process, deadline, limit)
                .await?;
        }
        Ok(())
    }

    /// An agent that has no configuration yet refuses all work.
    async fn wait_agent_ready(
        &self,
        agent: &Process,
        deadline: Instant,
        limit: Duration,
    ) -> Result<(), HarnessError> {
        let url = format!("http://{}/readyz", agent.internal_addr());
        loop {
            let seen = match call(&self.http, Method::Get, &url, None).await {
                Ok(answer) if answer.status == 200 => return Ok(()),
                Ok(answer) => format!("status {}", answer.status),
                Err(error) => error.to_string(),
            };
            if Instant::now() >= deadline {
                return Err(HarnessError::Timeout {
                    what: format!("{} ready", agent.name()),
                    limit_ms: limit.as_millis(),
                    seen,
                });
            }
            smol::Timer::after(POLL_PAUSE).await;
        }
    }

    async fn wait_entry_ready(
        &self,
        index: usize,
        deadline: Instant,
        limit: Duration,
    ) -> Result<(), HarnessError> {
        let caller = self.caller(index).with_timeout(TRIAL_LIMIT);
        let url = format!("http://{}/readyz", self.entry_addr(index)?);
        loop {
            let seen = if self.plan.engines > 0 {
                let reply = caller.chat(&ChatRequest::buffered(TRIAL_PROMPT)).await;
                if reply.outcome.is_complete() {
                    return Ok(());
                }
                format!("{:?} {}", reply.outcome, reply.body)
            } else {
                match call(&self.http, Method::Get, &url, None).await {
                    Ok(answer) if answer.status == 200 => return Ok(()),
                    Ok(answer) => format!("status {}", answer.status),
                    Err(error) => error.to_string(),
                }
            };
            if Instant::now() >= deadline {
                return Err(HarnessError::Timeout {
                    what: format!("entry-{index} serving"),
                    limit_ms: limit.as_millis(),
                    seen,
                });
            }
            smol::Timer::after(POLL_PAUSE).await;
        }
    }

    /// Counters of an engine since its last start.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn stats(&self, engine: &str) -> Result<Stats, HarnessError> {
        let url = format!("http://{}/stats", self.process(engine)?.addr());
        let stats = call_json(&self.http, Method::Get, &url, None).await?;
        serde_json::from_value(stats).map_err(|error| HarnessError::Call {
            url,
            reason: error.to_string(),
        })
    }

    /// Requests that run in an engine, by its own load report; without a lag
    /// only if the engine has `--load-lag-ms 0`.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn running(&self, engine: &str) -> Result<usize, HarnessError> {
        let url = format!("http://{}/load", self.process(engine)?.addr());
        let load = call_json(&self.http, Method::Get, &url, None).await?;
        Ok(load["running"].as_u64().unwrap_or(0) as usize)
    }

    /// The text that a process answers to a GET, such as `/metrics` on the
    /// internal address of an entry or agent, with the status.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn get_internal(
        &self,
        name: &str,
        path: &str,
    ) -> Result<(u16, String), HarnessError> {
        let url = format!("http://{}{path}", self.process(name)?.internal_addr());
        let answer = call(&self.http, Method::Get, &url, None).await?;
        Ok((answer.status, answer.body))
    }

    /// The runs of all plain services, crashed processes included.
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

/// Adds the runs of one service; a line of a known run replaces it.
fn add_runs(lines: &[LedgerLine], runs: &mut Vec<Run>) {
    let mut known: IndexMap<usize, usize> = IndexMap::new();
    for line in lines {
        if line.run.finished {
            if let Some(place) = known.get(&line.number) {
                runs[*place] = line.run.clone();
                continue;
            }
        }
        // A restarted service counts from 0 again.
        known.insert(line.number, runs.len());
        runs.push(line.run.clone());
    }
}
