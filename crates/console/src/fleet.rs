//! Operator commands that show the state of all processes and drain instances.

use std::time::Duration;

use futures_lite::StreamExt;
use rpc::methods::{Drain, GetMembership, GetStatus, Status};
use serde::{Deserialize, Serialize};
use store::{Instance, InstanceState, Role};
use types::{Generation, InstanceId, UpstreamName, ZoneName};

use crate::{OperatorClient, OperatorError};

/// Timeout of a call to one process.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of processes that are queried concurrently.
const CONCURRENT_CALLS: usize = 32;

/// State of one listed process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Unique name of the process.
    pub instance: InstanceId,
    /// Whether the process is an entry or an agent.
    pub role: Role,
    /// Upstream that an agent serves; `None` for entries.
    pub upstream: Option<UpstreamName>,
    /// Availability zone of the process.
    pub zone: ZoneName,
    /// State of the process on the platform's instance list.
    pub listed: InstanceState,
    /// Status reported by the process; `None` if it did not respond.
    pub status: Option<Status>,
    /// Message of the failed call; `None` if the process responded.
    pub error: Option<String>,
}

/// State of all listed processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Generation of the head in the store; `None` if it cannot be read or none
    /// is stored.
    pub stored_generation: Option<Generation>,
    /// States of the listed processes, in the order of the instance list.
    pub instances: Vec<InstanceReport>,
}

impl FleetStatus {
    /// Returns the highest generation that any process has applied.
    pub fn highest_generation(&self) -> Generation {
        let generations = self.instances.iter().filter_map(InstanceReport::generation);
        generations.max().unwrap_or_default()
    }
}

impl InstanceReport {
    /// Returns the generation applied in the process, if it responded.
    pub fn generation(&self) -> Option<Generation> {
        Some(self.status.as_ref()?.generation)
    }
}

/// Queries the status of every listed process.
///
/// # Errors
///
/// [`OperatorError::Instances`] if the instance list cannot be read.
pub async fn status(operator: &OperatorClient) -> Result<FleetStatus, OperatorError> {
    let list = list_instances(operator).await?;
    let head = shared_state::read_head(&*operator.store).await;
    let stored_generation = head.ok().flatten().map(|stored| stored.head.generation);
    Ok(FleetStatus {
        stored_generation,
        instances: query_all(operator, list).await,
    })
}

/// Formats the state of all processes for a terminal, one line per process.
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
        (None, Some(error)) => format!("no response: {error}"),
        (None, None) => "no response".to_string(),
    };
    let listed = match report.listed {
        InstanceState::Live => "",
        InstanceState::Leaving => ", listed as leaving",
    };
    format!("{instance} {zone} {role}: {state}{listed}")
}

/// Returns the highest generation applied in any process that responds. A new
/// submission must get a higher one, also if the store has lost its data.
pub async fn generation_floor(operator: &OperatorClient) -> Generation {
    let Ok(list) = list_instances(operator).await else {
        return Generation::default();
    };
    let instances = query_all(operator, list).await;
    let generations = instances.iter().filter_map(InstanceReport::generation);
    generations.max().unwrap_or_default()
}

/// Starts the drain of an instance.
///
/// # Errors
///
/// [`OperatorError`] if the instance is not listed or did not confirm.
pub async fn drain(operator: &OperatorClient, instance: &str) -> Result<(), OperatorError> {
    let list = list_instances(operator).await?;
    let found = list
        .iter()
        .find(|listed| listed.instance.as_str() == instance);
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

/// Returns the instance list of the platform, or else of the first seed that
/// responds.
async fn list_instances(operator: &OperatorClient) -> Result<Vec<Instance>, OperatorError> {
    let platform_error = match operator.instances.instances(None, STATUS_TIMEOUT).await {
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
    Err(platform_error.into())
}

pub(crate) async fn query_all(
    operator: &OperatorClient,
    list: Vec<Instance>,
) -> Vec<InstanceReport> {
    let mut reports = Vec::with_capacity(list.len());
    for group in list.chunks(CONCURRENT_CALLS) {
        let tasks: Vec<_> = group
            .iter()
            .map(|instance| {
                let (operator, instance) = (operator.clone(), instance.clone());
                async_global_executor::spawn(async move { query_status(&operator, instance).await })
            })
            .collect();
        let mut pending_reports = futures_lite::stream::iter(tasks).then(|task| task);
        while let Some(report) = pending_reports.next().await {
            reports.push(report);
        }
    }
    reports
}

async fn query_status(operator: &OperatorClient, instance: Instance) -> InstanceReport {
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
