//! JSON-RPC calls of entries, agents and operators.

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

type Served<A> = Result<RpcResponse<A>, MethodError>;

/// The methods that an agent serves.
pub(crate) fn methods(agent: Arc<Agent>) -> Methods<Arc<Agent>> {
    let instance = agent.settings.instance.clone();
    let shared = agent.shared.clone();
    shared_state::register_methods(Methods::new(agent), instance, shared)
        .with::<RecallRequest, _, _>(|call, agent| async move {
            note(&agent, &call);
            let recall = recall(&agent, &call);
            answered(&agent, RecallResponse { recall })
        })
        .with::<GetStatus, _, _>(|call, agent| async move {
            note(&agent, &call);
            answered(&agent, status(&agent))
        })
        .with::<ExchangeEvidence, _, _>(|call, agent| async move {
            note(&agent, &call);
            let now = agent.clock.now();
            let mut suspects = agent.suspects();
            suspects.merge(now, &call.params);
            let evidence = suspects.export(now);
            drop(suspects);
            answered(&agent, evidence)
        })
        .with::<Drain, _, _>(|call, agent| async move {
            note(&agent, &call);
            agent.drain();
            answered(&agent, ())
        })
}

fn note<P>(agent: &Agent, call: &Call<P>) {
    agent
        .shared
        .on_sender_generation(&call.sender, call.generation);
}

fn answered<A>(agent: &Agent, answer: A) -> Served<A> {
    Ok(RpcResponse {
        sender: agent.settings.instance.clone(),
        generation: agent.shared.config().generation,
        answer,
    })
}

fn recall(agent: &Agent, call: &Call<RecallParams>) -> Recall {
    let RecallParams { request_id, cancel } = &call.params;
    let recall = agent.gate.recall(request_id, *cancel);
    let recalled = recall == Recall::Recalled;
    agent.note_recalled(request_id, &call.sender, recalled, *cancel);
    recall
}

fn status(agent: &Agent) -> Status {
    Status {
        instance: agent.settings.instance.clone(),
        role: "agent".into(),
        generation: agent.shared.config().generation,
        draining: agent.gate.is_draining(),
        in_flight: u32::try_from(agent.gate.held()).unwrap_or(u32::MAX),
        load: Some(agent.load()),
        upstreams: Vec::new(),
        membership_age_ms: agent.shared.membership_age_ms(),
    }
}
