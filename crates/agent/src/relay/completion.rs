//! Relay of one completion, from its start at the engine to its end.

use std::time::Duration;

use futures_lite::{future::poll_once, FutureExt};
use policy::schedule::End;
use types::{Fingerprint, RequestId};

use super::{inactivity_timer::InactivityTimer, pipe::pipe, EventValidator, PipeWriter, Progress};
use crate::{
    agent::Agent,
    dispatch::{Outcome, ResponseSender},
    refusal::Refusal,
    request_events::RequestStats,
    scheduler::{Interrupt, Request, Started},
    upstream::{completion_body, Fault, UpstreamResponse},
};

/// Size of the buffer for reads from the engine.
const READ_BYTES: usize = 16 << 10;

/// Maximum wait for the entry to read from a full buffer before the request is
/// cancelled.
const ENTRY_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum wait for the end of a body after its end marker; the connection is
/// not reused if it takes longer.
const END_OF_BODY_TIMEOUT: Duration = Duration::from_millis(500);

const STATUS_OK: u16 = 200;

/// Completion request received from an entry.
#[derive(Debug)]
pub(crate) struct Completion {
    /// Id that every event of the response has to carry.
    pub(crate) request_id: RequestId,
    /// Identity of the content, for crash evidence.
    pub(crate) fingerprint: Fingerprint,
    /// Number of tokens that the caller has received from earlier attempts.
    pub(crate) resume_from: u32,
    /// Request body as sent by the caller.
    pub(crate) body: Vec<u8>,
}

/// Relays a completion until it ends.
pub(crate) async fn run_completion(
    agent: &Agent,
    mut request: Request<Started>,
    completion: Completion,
    entry: ResponseSender,
) {
    let mut relay = Relay::new(agent, completion, entry);
    loop {
        match relay.run(&request).await {
            RunEnd::Completed => return relay.end_completed(request),
            RunEnd::Failed(fault) => return relay.end_failed(request, &fault).await,
            RunEnd::Interrupted(Interrupt::Cancel) => return relay.end_cancelled(request).await,
            RunEnd::Interrupted(Interrupt::Pause) => match relay.pause(request).await {
                Some(resumed) => request = resumed,
                None => return,
            },
        }
    }
}

/// Result of one run at the engine.
enum RunEnd {
    Completed,
    Failed(Fault),
    Interrupted(Interrupt),
}

enum Step {
    Bytes(usize),
    End(RunEnd),
}

/// Receiver of the validated events.
enum Sink {
    /// The response has not started, so a refusal can still be sent.
    Pending(ResponseSender),
    /// The response has started; events are written to the pipe.
    Open(PipeWriter),
    /// The entry has disconnected.
    Closed,
}

/// State of one completion over all its runs at the engine.
///
/// # Invariants
///
/// `checked` holds the validated events that were not forwarded yet. Together
/// with the forwarded ones they contain all tokens below
/// `validator.next_index()`.
struct Relay<'a> {
    agent: &'a Agent,
    completion: Completion,
    validator: EventValidator,
    checked: Vec<u8>,
    sink: Sink,
    buffer: Vec<u8>,
    inactivity: InactivityTimer,
    stats: RequestStats,
}

impl<'a> Relay<'a> {
    fn new(agent: &'a Agent, completion: Completion, entry: ResponseSender) -> Self {
        let validator = EventValidator::new(completion.request_id.clone(), completion.resume_from);
        Self {
            agent,
            validator,
            completion,
            checked: Vec::new(),
            sink: Sink::Pending(entry),
            buffer: vec![0; READ_BYTES],
            inactivity: InactivityTimer::new(agent.settings.upstream_silence),
            stats: RequestStats::new(),
        }
    }

    /// Runs the request at the engine until it ends or is interrupted.
    async fn run(&mut self, request: &Request<Started>) -> RunEnd {
        self.inactivity.reset();
        let mut response = match self.send_request(request).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        loop {
            if let Err(end) = self.forward(request).await {
                return end;
            }
            if self.validator.progress() == Progress::Done {
                return self.finish_reading(response).await;
            }
            match self.read(request, &mut response).await {
                Step::Bytes(count) => {
                    if let Err(end) = self.validate(request, count) {
                        return end;
                    }
                }
                Step::End(end) => return end,
            }
        }
    }

    async fn send_request(
        &mut self,
        request: &Request<Started>,
    ) -> Result<UpstreamResponse, RunEnd> {
        let id = &self.completion.request_id;
        let resume_from = self.validator.next_index();
        let body = completion_body(
            &self.completion.body,
            request.engine_priority(),
            resume_from,
        )
        .map_err(|fault| RunEnd::Failed(Fault::InvalidRequest(fault.to_string())))?;
        let limit_ms = self.inactivity.limit_ms();
        let inactivity = &mut self.inactivity;
        let response = async { Err(RunEnd::Interrupted(request.wait_for_interrupt().await)) }
            .or(async {
                let response = self.agent.upstream.complete(id, body).await;
                response.map_err(RunEnd::Failed)
            })
            .or(async {
                inactivity.expired().await;
                Err(RunEnd::Failed(Fault::TimedOut { limit_ms }))
            })
            .await?;
        match response.status() {
            STATUS_OK => Ok(response),
            status => Err(RunEnd::Failed(Fault::Status { status })),
        }
    }

    async fn read(&mut self, request: &Request<Started>, response: &mut UpstreamResponse) -> Step {
        let limit_ms = self.inactivity.limit_ms();
        let inactivity = &mut self.inactivity;
        let sink = &mut self.sink;
        let buffer = &mut self.buffer;
        async { Step::End(RunEnd::Interrupted(request.wait_for_interrupt().await)) }
            .or(async {
                match response.read(buffer).await {
                    Ok(count) => Step::Bytes(count),
                    Err(fault) => Step::End(RunEnd::Failed(fault)),
                }
            })
            .or(async {
                sink.closed().await;
                Step::End(RunEnd::Interrupted(Interrupt::Cancel))
            })
            .or(async {
                inactivity.expired().await;
                Step::End(RunEnd::Failed(Fault::TimedOut { limit_ms }))
            })
            .await
    }

    /// Validates the `count` bytes just received; 0 is the end of the body.
    fn validate(&mut self, request: &Request<Started>, count: usize) -> Result<(), RunEnd> {
        if count == 0 {
            let ended = self.validator.end().map_err(Fault::from);
            return ended.map_err(RunEnd::Failed);
        }
        let before = self.validator.next_index();
        let checked = self
            .validator
            .push(&self.buffer[..count], &mut self.checked);
        let tokens = self.validator.next_index();
        if tokens > before {
            self.inactivity.reset();
            self.agent.meters.tokens(tokens - before);
            self.stats.record_tokens(self.agent, tokens);
            request.report_tokens(tokens);
        }
        checked.map_err(|error| RunEnd::Failed(error.into()))
    }

    /// Forwards the validated events to the entry.
    async fn forward(&mut self, request: &Request<Started>) -> Result<(), RunEnd> {
        if self.checked.is_empty() {
            return Ok(());
        }
        self.sink.open(self.agent);
        let Sink::Open(pipe) = &mut self.sink else {
            return Err(RunEnd::Interrupted(Interrupt::Cancel));
        };
        let written = match poll_once(pipe.write(&self.checked)).await {
            Some(written) => written,
            None => {
                async { Err(RunEnd::Interrupted(request.wait_for_interrupt().await)) }
                    .or(async { Ok(pipe.write(&self.checked).await) })
                    .or(async {
                        smol::Timer::after(ENTRY_STALL_TIMEOUT).await;
                        Err(RunEnd::Interrupted(Interrupt::Cancel))
                    })
                    .await?
            }
        };
        if written.is_err() {
            return Err(RunEnd::Interrupted(Interrupt::Cancel));
        }
        // Time spent waiting for a slow entry is not inactivity of the engine.
        self.inactivity.reset();
        self.checked.clear();
        Ok(())
    }

    /// Reads to the end of the body of a complete response, so that its
    /// connection can be reused. If data follows the end marker, the connection
    /// is closed instead.
    async fn finish_reading(&mut self, mut response: UpstreamResponse) -> RunEnd {
        if self.validator.end().is_err() {
            return RunEnd::Completed;
        }
        match poll_once(response.is_at_end()).await {
            Some(true) => response.release_connection(),
            Some(false) => {}
            // Continues in the background, so that the entry does not wait for it.
            None => async_global_executor::spawn(release_at_end(response)).detach(),
        }
        RunEnd::Completed
    }

    fn end_completed(self, request: Request<Started>) {
        if let Sink::Open(pipe) = self.sink {
            pipe.finish();
        }
        self.agent.on_completed(self.completion.fingerprint);
        self.stats.record_end(self.agent, request.id(), End::Whole);
        request.finish(End::Whole);
    }

    async fn end_failed(self, request: Request<Started>, fault: &Fault) {
        self.agent.on_fault(&request, fault).await;
        match self.sink {
            Sink::Pending(entry) => entry.refuse(fault.refusal()),
            // Events validated before the fault are correct; they are forwarded
            // if the pipe is not full.
            Sink::Open(mut pipe) => drop(poll_once(pipe.write(&self.checked)).await),
            Sink::Closed => {}
        }
        if !matches!(fault, Fault::Unreachable(_) | Fault::InvalidRequest(_)) {
            self.agent.upstream.cancel(request.id()).await;
        }
        self.stats.record_end(self.agent, request.id(), End::Failed);
        request.finish(End::Failed);
    }

    async fn end_cancelled(self, request: Request<Started>) {
        if let Sink::Pending(entry) = self.sink {
            entry.refuse(cancelled());
        }
        self.agent.upstream.cancel(request.id()).await;
        self.stats
            .record_end(self.agent, request.id(), End::Cancelled);
        request.finish(End::Cancelled);
    }

    /// Cancels the request at the engine and waits for the next start. Returns
    /// `None` if the caller disconnects meanwhile.
    async fn pause(&mut self, request: Request<Started>) -> Option<Request<Started>> {
        self.agent.upstream.cancel(request.id()).await;
        self.validator.restart();
        let tokens = self.validator.next_index();
        self.agent.record_paused(request.id(), tokens);
        let sink = &mut self.sink;
        async { request.pause().wait_for_resume().await }
            .or(async {
                sink.closed().await;
                None
            })
            .await
    }
}

impl Sink {
    /// Starts the response if it has not started.
    fn open(&mut self, agent: &Agent) {
        if let Sink::Pending(entry) = self {
            let (writer, reader) = pipe(agent.in_flight.enter());
            *self = match entry.send(Outcome::Stream(reader)) {
                true => Sink::Open(writer),
                false => Sink::Closed,
            };
        }
    }

    /// Waits until the entry disconnects. Never completes before the response
    /// starts: until then the dispatch handler detects it and cancels the request.
    async fn closed(&mut self) {
        match self {
            Sink::Pending(_) => std::future::pending().await,
            Sink::Open(pipe) => pipe.reader_closed().await,
            Sink::Closed => {}
        }
    }
}

/// Waits up to [`END_OF_BODY_TIMEOUT`] for the end of the body, and releases
/// the connection for reuse if it comes.
async fn release_at_end(mut response: UpstreamResponse) {
    let timeout = async {
        smol::Timer::after(END_OF_BODY_TIMEOUT).await;
        false
    };
    if response.is_at_end().or(timeout).await {
        response.release_connection();
    }
}

fn cancelled() -> Refusal {
    Refusal::may_have_run(
        types::ErrorCode::Recalled,
        "the request was cancelled after it had started",
    )
}
