//! Events of the agent role.

use types::{
    ClassName, ErrorCode, Fingerprint, Generation, InstanceId, RequestId, TeamName, Verdict,
};

use super::macros::events;

events! {
    /// Events of the agent role.
    AgentEvent {
        2000 Info Listening {
            /// Own instance.
            instance: InstanceId,
            /// Internal listener.
            addr: String,
        } = "The agent accepts dispatches.", "Nothing.";
        2001 Info RequestQueued {
            /// The request.
            request_id: RequestId,
            /// The entry that sent it.
            sender: InstanceId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Its team.
            team: TeamName,
            /// Its class.
            class: ClassName,
            /// Identity of its content.
            fingerprint: Fingerprint,
            /// Whether it has to run alone, as a suspect of an earlier crash.
            run_alone: bool,
            /// Requests running when it arrived.
            running: u32,
            /// Running limit then.
            running_limit: u32,
            /// Requests queued then, without this one.
            queued: u32,
        } = "A dispatch was taken into the queue.", "Nothing.";
        2002 Info RequestStarted {
            /// The request.
            request_id: RequestId,
            /// Time in the queue, in milliseconds.
            queued_ms: u64,
            /// Priority passed to the engine.
            engine_priority: u8,
            /// First token that is asked for.
            resume_from: u32,
        } = "A request was given a running slot and sent to the upstream.", "Nothing.";
        2003 Info RequestRefused {
            /// The request, if it could be read.
            request_id: Option<RequestId>,
            /// Why.
            code: ErrorCode,
            /// Whether it may have run.
            verdict: Verdict,
            /// Requests running then.
            running: u32,
            /// Running limit then.
            running_limit: u32,
            /// Requests queued then.
            queued: u32,
        } = "A dispatch ended without an answer of the upstream.",
            "Look at the code; a high rate of queue_full or displaced points at capacity.";
        2004 Info RequestPaused {
            /// The request.
            request_id: RequestId,
            /// Tokens generated so far.
            tokens: u32,
        } = "A long request gave its slot to an urgent one.", "Nothing.";
        2005 Info RequestEnded {
            /// The request.
            request_id: RequestId,
            /// How: whole, cancelled or failed.
            end: &'static str,
            /// Tokens generated so far.
            tokens: u32,
            /// Time from the first start to the first token, in milliseconds.
            first_token_ms: u64,
            /// Time from the first start to the end, in milliseconds.
            total_ms: u64,
        } = "A request has left the upstream.", "Nothing.";
        2006 Info RequestRecalled {
            /// The request.
            request_id: RequestId,
            /// The entry that asked.
            sender: InstanceId,
            /// Whether it was taken back before it started.
            recalled: bool,
            /// Whether it is to be stopped if it has started.
            cancel: bool,
        } = "An entry took a request back, or learned that it may have started.", "Nothing.";
        2010 Warn UpstreamFault {
            /// The request.
            request_id: RequestId,
            /// What was seen.
            fault: String,
            /// Whether the request may have run.
            verdict: Verdict,
        } = "The upstream's answer was refused or broke off.",
            "Look at the upstream if this repeats.";
        2011 Error UpstreamCrashed {
            /// Own instance.
            instance: InstanceId,
            /// Number of the crash at this instance.
            sequence: u64,
            /// Contents that ran at that moment.
            suspects: Vec<Fingerprint>,
        } = "The upstream crashed while requests ran.",
            "Look for the cause at the upstream; a content that crashes several is quarantined by itself.";
        2012 Info OrderGiven {
            /// Own instance.
            instance: InstanceId,
            /// The adapter that the engine lacked.
            adapter: String,
            /// Fencing number of the lease.
            fencing: u64,
            /// How: applied, fenced_off, refused or no_answer.
            end: &'static str,
        } = "The engine was ordered to load an adapter that the configuration wants.",
            "If it is not applied, look at the engine; the agent tries again.";
        2013 Info OrderWithheld {
            /// Own instance.
            instance: InstanceId,
            /// The adapter that the engine lacks.
            adapter: String,
            /// Configuration that wanted it.
            generation: Generation,
        } = "An order was not given: a newer configuration or a drain came before the lease.", "Nothing.";
        2020 Info DrainStarted {
            /// Own instance.
            instance: InstanceId,
            /// Requests that still have to end.
            held: u32,
        } = "The agent refuses new requests and finishes those it has.", "Nothing.";
        2021 Info DrainFinished {
            /// Own instance.
            instance: InstanceId,
        } = "Every request has ended and the agent stops.", "Nothing.";
    }
}
