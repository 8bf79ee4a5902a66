//! JSON-RPC methods called by entries, other agents and operators.

use std::sync::Arc;

use policy::schedule::Recall;
use rpc::{
    methods::{
        Call, Drain, ExchangeEvidence, GetStatus, RecallParams, RecallRequest, RecallResponse,
        RpcResponse, Status,
    },
    MethodError, Methods,
};

use crate::agent::Agent;

type CallResult<A> = Result<RpcResponse<A>, MethodError>;

/// Returns the method table: recall, status, evidence exchange, drain, and the
/// methods of the shared state.
pub(crate) fn methods(agent: Arc<Agent>) -> Methods<Arc<Agent>> {
    let instance = agent.settings.instance.clone();
    let shared = agent.shared.clone();
    shared_state::register_methods(Methods::new(agent), instance, shared)
        .with::<RecallRequest, _, _>(|call, agent| async move {
            record_sender_generation(&agent, &call);
            let recall = recall(&agent, &call);
            reply_with(&agent, RecallResponse { recall })
        })
        .with::<GetStatus, _, _>(|call, agent| async move {
            record_sender_generation(&agent, &call);
            reply_with(&agent, status(&agent))
        })
        .with::<ExchangeEvidence, _, _>(|call, agent| async move {
            record_sender_generation(&agent, &call);
            let now = agent.clock.now();
            let mut suspects = agent.suspects();
            suspects.merge(now, &call.params);
            let evidence = suspects.export(now);
            drop(suspects);
            reply_with(&agent, evidence)
        })
        .with::<Drain, _, _>(|call, agent| async move {
            record_sender_generation(&agent, &call);
            agent.drain();
            reply_with(&agent, ())
        })
}

fn record_sender_generation<P>(agent: &Agent, call: &Call<P>) {
    agent
        .shared
        .on_sender_generation(&call.sender, call.generation);
}

fn reply_with<A>(agent: &Agent, answer: A) -> CallResult<A> {
    Ok(RpcResponse {
        sender: agent.settings.instance.clone(),
        generation: agent.shared.config().generation,
        answer,
    })
}

fn recall(agent: &Agent, call: &Call<RecallParams>) -> Recall {
    let RecallParams { request_id, cancel } = &call.params;
    let recall = agent.scheduler.recall(request_id, *cancel);
    let recalled = recall == Recall::Recalled;
    agent.record_recalled(request_id, &call.sender, recalled, *cancel);
    recall
}

fn status(agent: &Agent) -> Status {
    Status {
        instance: agent.settings.instance.clone(),
        role: "agent".into(),
        generation: agent.shared.config().generation,
        draining: agent.scheduler.is_draining(),
        in_flight: u32::try_from(agent.scheduler.request_count()).unwrap_or(u32::MAX),
        load: Some(agent.load()),
        upstreams: Vec::new(),
        membership_age_ms: agent.shared.membership_age_ms(),
    }
}
