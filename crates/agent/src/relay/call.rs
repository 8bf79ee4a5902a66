//! One call to a plain service.

use futures_lite::FutureExt;
use policy::schedule::End;
use rpc::Target;
use types::{ErrorCode, Fingerprint};

use super::silence::Silence;
use crate::{
    agent::Agent,
    dispatch::{EntrySide, Outcome},
    gate::{Interrupt, Request, Started},
    journal::Course,
    refusal::Refusal,
    upstream::{read_whole, CallAnswer, Fault},
};

/// A call as the entry sent it.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    /// What to call.
    pub(crate) target: Target,
    /// Content identity.
    pub(crate) fingerprint: Fingerprint,
    /// Whether it may be stopped half-way when the caller is gone.
    pub(crate) is_idempotent: bool,
    /// The caller's body.
    pub(crate) body: Vec<u8>,
}

enum CallEnd {
    Answered(CallAnswer),
    Failed(Fault),
    Cancelled,
}

/// Makes the call and passes the whole answer on.
pub(crate) async fn run_call(
    agent: &Agent,
    request: Request<Started>,
    call: ServiceCall,
    entry: EntrySide,
) {
    let fingerprint = call.fingerprint;
    let course = Course::new();
    match exchange(agent, &request, call).await {
        CallEnd::Answered(answer) => {
            entry.answer(Outcome::Call(answer));
            agent.on_whole(fingerprint);
            course.note_end(agent, request.id(), End::Whole);
            request.finish(End::Whole);
        }
        CallEnd::Failed(fault) => {
            agent.on_fault(&request, &fault).await;
            entry.refuse(fault.refusal());
            course.note_end(agent, request.id(), End::Failed);
            request.finish(End::Failed);
        }
        CallEnd::Cancelled => {
            entry.refuse(Refusal::may_have_run(
                ErrorCode::Recalled,
                "the call was cancelled after it had started",
            ));
            course.note_end(agent, request.id(), End::Cancelled);
            request.finish(End::Cancelled);
        }
    }
}

async fn exchange(agent: &Agent, request: &Request<Started>, call: ServiceCall) -> CallEnd {
    let mut silence = Silence::new(agent.settings.upstream_silence);
    let silent_ms = silence.limit_ms();
    let is_idempotent = call.is_idempotent;
    let made = async {
        match make(agent, request, call).await {
            Ok(answer) => CallEnd::Answered(answer),
            Err(fault) => CallEnd::Failed(fault),
        }
    };
    let silent = async {
        silence.exceeded().await;
        CallEnd::Failed(Fault::Silent { silent_ms })
    };
    async {
        wait_for_cancel(request, is_idempotent).await;
        CallEnd::Cancelled
    }
    .or(made)
    .or(silent)
    .await
}

async fn make(
    agent: &Agent,
    request: &Request<Started>,
    call: ServiceCall,
) -> Result<CallAnswer, Fault> {
    let has_body = !matches!(&call.target, Target::Call { method, .. } if method == "HEAD");
    let upstream = &agent.upstream;
    let answer = upstream.call(request.id(), &call.target, call.body).await?;
    read_whole(answer, has_body).await
}

/// Waits until the call may be stopped half-way: a call that must not be
/// repeated runs to its end although nobody waits for it.
async fn wait_for_cancel(request: &Request<Started>, is_idempotent: bool) {
    loop {
        let interrupt = request.interrupted().await;
        if interrupt == Interrupt::Cancel && is_idempotent {
            return;
        }
    }
}
