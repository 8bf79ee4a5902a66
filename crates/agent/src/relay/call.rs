//! Relay of one call to a plain service.

use futures_lite::FutureExt;
use policy::schedule::End;
use rpc::Target;
use types::{ErrorCode, Fingerprint};

use super::inactivity_timer::InactivityTimer;
use crate::{
    agent::Agent,
    dispatch::{Outcome, ResponseSender},
    refusal::Refusal,
    request_events::RequestStats,
    scheduler::{Interrupt, Request, Started},
    upstream::{read_response, Fault, ServiceResponse},
};

/// Call to a plain service, received from an entry.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    /// Method, path and headers of the call.
    pub(crate) target: Target,
    /// Identity of the content, for crash evidence.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the call may be aborted if the caller disconnects.
    pub(crate) is_idempotent: bool,
    /// Body, forwarded unchanged.
    pub(crate) body: Vec<u8>,
}

enum CallEnd {
    Completed(ServiceResponse),
    Failed(Fault),
    Cancelled,
}

/// Executes the call and forwards the complete response.
pub(crate) async fn run_call(
    agent: &Agent,
    request: Request<Started>,
    call: ServiceCall,
    entry: ResponseSender,
) {
    let fingerprint = call.fingerprint;
    let stats = RequestStats::new();
    match exchange(agent, &request, call).await {
        CallEnd::Completed(response) => {
            entry.send(Outcome::Call(response));
            agent.on_completed(fingerprint);
            stats.record_end(agent, request.id(), End::Whole);
            request.finish(End::Whole);
        }
        CallEnd::Failed(fault) => {
            agent.on_fault(&request, &fault).await;
            entry.refuse(fault.refusal());
            stats.record_end(agent, request.id(), End::Failed);
            request.finish(End::Failed);
        }
        CallEnd::Cancelled => {
            entry.refuse(Refusal::may_have_run(
                ErrorCode::Recalled,
                "the call was cancelled after it had started",
            ));
            stats.record_end(agent, request.id(), End::Cancelled);
            request.finish(End::Cancelled);
        }
    }
}

async fn exchange(agent: &Agent, request: &Request<Started>, call: ServiceCall) -> CallEnd {
    let mut inactivity = InactivityTimer::new(agent.settings.upstream_silence);
    let limit_ms = inactivity.limit_ms();
    let is_idempotent = call.is_idempotent;
    let completed = async {
        match send_call(agent, request, call).await {
            Ok(response) => CallEnd::Completed(response),
            Err(fault) => CallEnd::Failed(fault),
        }
    };
    let timed_out = async {
        inactivity.expired().await;
        CallEnd::Failed(Fault::TimedOut { limit_ms })
    };
    async {
        wait_for_cancel(request, is_idempotent).await;
        CallEnd::Cancelled
    }
    .or(completed)
    .or(timed_out)
    .await
}

async fn send_call(
    agent: &Agent,
    request: &Request<Started>,
    call: ServiceCall,
) -> Result<ServiceResponse, Fault> {
    let has_body = !matches!(&call.target, Target::Call { method, .. } if method == "HEAD");
    let upstream = &agent.upstream;
    let response = upstream.call(request.id(), &call.target, call.body).await?;
    read_response(response, has_body).await
}

/// Waits until the call is cancelled. Ignores a cancel of a call that is not
/// idempotent: it runs to its end even if the caller has disconnected.
async fn wait_for_cancel(request: &Request<Started>, is_idempotent: bool) {
    loop {
        let interrupt = request.wait_for_interrupt().await;
        if interrupt == Interrupt::Cancel && is_idempotent {
            return;
        }
    }
}
