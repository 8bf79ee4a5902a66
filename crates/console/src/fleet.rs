//! The state of the fleet, and draining instances.

use std::time::Duration;

use futures_lite::StreamExt;
use rpc::methods::{Drain, GetMembership, GetStatus, Status};
use serde::{Deserialize, Serialize};
use store::{Instance, InstanceState, Role};
use types::{Generation, InstanceId, UpstreamName, ZoneName};

use crate::{Operator, OperatorError};

/// Longest wait for one process's answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Processes asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// What one listed process answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Who.
    pub instance: InstanceId,
    /// What it does.
    pub role: Role,
    /// Its upstream, for agents.
    pub upstream: Option<UpstreamName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// State on the platform's list.
    pub listed: InstanceState,
    /// Its own word; `None` without an answer.
    pub status: Option<Status>,
    /// Why there is no answer.
    pub error: Option<String>,
}

/// The state of every listed process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Generation of the store's head; `None` if it can't be read.
    pub stored_generation: Option<Generation>,
    /// Every listed process.
    pub instances: Vec<InstanceReport>,
}

impl FleetStatus {
    /// Highest generation that any process has in force.
    pub fn highest_generation(&self) -> Generation {
        let in_force = self.instances.iter().filter_map(InstanceReport::generation);
        in_force.max().unwrap_or_default()
    }
}

impl InstanceReport {
    /// Generation in force at the process, if it answered.
    pub fn generation(&self) -> Option<Generation> {
        Some(self.status.as_ref()?.generation)
    }
}

/// Asks every listed process for its state.
///
/// # Errors
///
/// [`OperatorError::Instances`] when the list can't be read.
pub async fn status(operator: &Operator) -> Result<FleetStatus, OperatorError> {
    let list = listed(operator).await?;
    let head = shared_state::read_head(&*operator.store).await;
    let stored_generation = head.ok().flatten().map(|stored| stored.head.generation);
    Ok(FleetStatus {
        stored_generation,
        instances: ask_all(operator, list).await,
    })
}

/// The state of the fleet for a terminal: one line a process.
pub fn status_text(fleet: &FleetStatus) -> String {
    let stored = match fleet.stored_generation {
        Some(generation) => format!("generation {} is stored", generation.0),
        None => "the stored generation can't be read".to_string(),
    };
    let mut lines = vec![stored];
    lines.extend(fleet.instances.iter().map(instance_text));
    lines.join("\n")
}

fn instance_text(report: &InstanceReport) -> String {
    let InstanceReport { instance, zone, .. } = report;
    let role = match (&report.role, &report.upstream) {
        (Role::Agent, Some(upstream)) => format!("agent of {upstream}"),
        (Role::Agent, None) => "agent".to_string(),
        (Role::Entry, _) => "entry".to_string(),
    };
    let state = match (&report.status, &report.error) {
        (Some(status), _) => format!(
            "{}, generation {}, {} in flight",
            if status.draining { "draining" } else { "ready" },
            status.generation.0,
            status.in_flight
        ),
        (None, Some(error)) => format!("no answer: {error}"),
        (None, None) => "no answer".to_string(),
    };
    let listed = match report.listed {
        InstanceState::Live => "",
        InstanceState::Leaving => ", listed as leaving",
    };
    format!("{instance} {zone} {role}: {state}{listed}")
}

/// Highest generation in force anywhere, as far as processes answer.
pub async fn generation_floor(operator: &Operator) -> Generation {
    let Ok(list) = listed(operator).await else {
        return Generation::default();
    };
    let instances = ask_all(operator, list).await;
    let in_force = instances.iter().filter_map(InstanceReport::generation);
    in_force.max().unwrap_or_default()
}

/// Tells an instance to drain.
///
/// # Errors
///
/// [`OperatorError`] when it is not listed or did not confirm.
pub async fn drain(operator: &Operator, instance: &str) -> Result<(), OperatorError> {
    let list = listed(operator).await?;
    let found = list.iter().find(|one| one.instance.as_str() == instance);
    let Some(found) = found else {
        let instance = instance.to_string();
        return Err(OperatorError::UnknownInstance { instance });
    };
    operator
        .peers
        .call::<Drain>(&found.addr, Generation::default(), (), STATUS_TIMEOUT)
        .await
        .map(|_| ())
        .map_err(|error| OperatorError::Call {
            instance: instance.to_string(),
            error,
        })
}

/// The platform's list, or that of the first seed that answers.
async fn listed(operator: &Operator) -> Result<Vec<Instance>, OperatorError> {
    let failed = match operator.instances.instances(None, STATUS_TIMEOUT).await {
        Ok(list) => return Ok(list.unwrap_or_default().instances),
        Err(error) => error,
    };
    for seed in &operator.seeds {
        let answer = operator
            .peers
            .call::<GetMembership>(seed, Generation::default(), (), STATUS_TIMEOUT)
            .await;
        if let Ok(answered) = answer {
            return Ok(answered.answer.list.instances);
        }
    }
    Err(failed.into())
}

pub(crate) async fn ask_all(operator: &Operator, list: Vec<Instance>) -> Vec<InstanceReport> {
    let mut reports = Vec::with_capacity(list.len());
    for group in list.chunks(ASKED_AT_ONCE) {
        let asked: Vec<_> = group
            .iter()
            .map(|instance| {
                let (operator, instance) = (operator.clone(), instance.clone());
                async_global_executor::spawn(async move { ask(&operator, instance).await })
            })
            .collect();
        let mut answers = futures_lite::stream::iter(asked).then(|task| task);
        while let Some(report) = answers.next().await {
            reports.push(report);
        }
    }
    reports
}

async fn ask(operator: &Operator, instance: Instance) -> InstanceReport {
    let answer = operator
        .peers
        .call::<GetStatus>(&instance.addr, Generation::default(), (), STATUS_TIMEOUT)
        .await;
    let (status, error) = match answer {
        Ok(answered) => (Some(answered.answer), None),
        Err(error) => (None, Some(error.to_string())),
    };
    InstanceReport {
        instance: instance.instance,
        role: instance.role,
        upstream: instance.upstream,
        zone: instance.zone,
        listed: instance.state,
        status,
        error,
    }
}
