//! One completion, from its start at the engine to its end.

use std::time::Duration;

use futures_lite::{future::poll_once, FutureExt};
use policy::schedule::End;
use types::{Fingerprint, RequestId};

use super::{pipe::pipe, silence::Silence, EventCheck, PipeWriter, Progress};
use crate::{
    agent::Agent,
    dispatch::{EntrySide, Outcome},
    gate::{Interrupt, Request, Started},
    journal::Course,
    refusal::Refusal,
    upstream::{completion_body, Answer, Fault},
};

/// Bytes read from the engine at once.
const READ_BYTES: usize = 16 << 10;

/// Longest wait for the entry to take a full buffer.
const ENTRY_STALL_MAX: Duration = Duration::from_secs(30);

/// Longest wait for the end of an answer after its end marker.
const END_WAIT_MAX: Duration = Duration::from_millis(500);

const STATUS_OK: u16 = 200;

/// A completion as the entry sent it.
#[derive(Debug)]
pub(crate) struct Completion {
    /// The request.
    pub(crate) request_id: RequestId,
    /// Content identity.
    pub(crate) fingerprint: Fingerprint,
    /// Tokens that the caller has from earlier attempts.
    pub(crate) resume_from: u32,
    /// The caller's body.
    pub(crate) body: Vec<u8>,
}

/// Relays a completion until it ends.
pub(crate) async fn run_completion(
    agent: &Agent,
    mut request: Request<Started>,
    completion: Completion,
    entry: EntrySide,
) {
    let mut relay = Relay::new(agent, completion, entry);
    loop {
        match relay.turn(&request).await {
            TurnEnd::Whole => return relay.end_whole(request),
            TurnEnd::Failed(fault) => return relay.end_failed(request, &fault).await,
            TurnEnd::Interrupted(Interrupt::Cancel) => return relay.end_cancelled(request).await,
            TurnEnd::Interrupted(Interrupt::Pause) => match relay.pause(request).await {
                Some(resumed) => request = resumed,
                None => return,
            },
        }
    }
}

/// How one stay at the engine ended.
enum TurnEnd {
    Whole,
    Failed(Fault),
    Interrupted(Interrupt),
}

enum Step {
    Bytes(usize),
    End(TurnEnd),
}

/// What a completion is passed on to.
enum Sink {
    /// Nothing was passed on yet: a refusal is still possible.
    Waiting(EntrySide),
    /// The answer has begun.
    Open(PipeWriter),
    /// The entry is gone.
    Gone,
}

/// # Invariants
///
/// `checked` holds events that were checked and not yet passed on; together
/// with what was passed on they reach up to `check.next_index()`.
struct Relay<'a> {
    agent: &'a Agent,
    completion: Completion,
    check: EventCheck,
    checked: Vec<u8>,
    sink: Sink,
    buffer: Vec<u8>,
    silence: Silence,
    course: Course,
}

impl<'a> Relay<'a> {
    fn new(agent: &'a Agent, completion: Completion, entry: EntrySide) -> Self {
        let check = EventCheck::new(completion.request_id.clone(), completion.resume_from);
        Self {
            agent,
            check,
            completion,
            checked: Vec::new(),
            sink: Sink::Waiting(entry),
            buffer: vec![0; READ_BYTES],
            silence: Silence::new(agent.settings.upstream_silence),
            course: Course::new(),
        }
    }

    /// One stay at the engine: from a start to the end or an interruption.
    async fn turn(&mut self, request: &Request<Started>) -> TurnEnd {
        self.silence.note_progress();
        let mut answer = match self.begin(request).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        loop {
            if let Err(end) = self.pass_on(request).await {
                return end;
            }
            if self.check.progress() == Progress::Done {
                return self.read_end(answer).await;
            }
            match self.read(request, &mut answer).await {
                Step::Bytes(count) => {
                    if let Err(end) = self.check(request, count) {
                        return end;
                    }
                }
                Step::End(end) => return end,
            }
        }
    }

    async fn begin(&mut self, request: &Request<Started>) -> Result<Answer, TurnEnd> {
        let id = &self.completion.request_id;
        let resume_from = self.check.next_index();
        let body = completion_body(
            &self.completion.body,
            request.engine_priority(),
            resume_from,
        )
        .map_err(|fault| TurnEnd::Failed(Fault::Unsendable(fault.to_string())))?;
        let silent_ms = self.silence.limit_ms();
        let silence = &mut self.silence;
        let begun = async { Err(TurnEnd::Interrupted(request.interrupted().await)) }
            .or(async {
                let answer = self.agent.upstream.complete(id, body).await;
                answer.map_err(TurnEnd::Failed)
            })
            .or(async {
                silence.exceeded().await;
                Err(TurnEnd::Failed(Fault::Silent { silent_ms }))
            })
            .await?;
        match begun.status() {
            STATUS_OK => Ok(begun),
            status => Err(TurnEnd::Failed(Fault::Status { status })),
        }
    }

    async fn read(&mut self, request: &Request<Started>, answer: &mut Answer) -> Step {
        let silent_ms = self.silence.limit_ms();
        let silence = &mut self.silence;
        let sink = &mut self.sink;
        let buffer = &mut self.buffer;
        async { Step::End(TurnEnd::Interrupted(request.interrupted().await)) }
            .or(async {
                match answer.read(buffer).await {
                    Ok(count) => Step::Bytes(count),
                    Err(fault) => Step::End(TurnEnd::Failed(fault)),
                }
            })
            .or(async {
                sink.gone().await;
                Step::End(TurnEnd::Interrupted(Interrupt::Cancel))
            })
            .or(async {
                silence.exceeded().await;
                Step::End(TurnEnd::Failed(Fault::Silent { silent_ms }))
            })
            .await
    }

    /// Checks `count` received bytes; none is the end of the answer.
    fn check(&mut self, request: &Request<Started>, count: usize) -> Result<(), TurnEnd> {
        if count == 0 {
            let cut = self.check.end().map_err(Fault::from);
            return cut.map_err(TurnEnd::Failed);
        }
        let before = self.check.next_index();
        let checked = self.check.push(&self.buffer[..count], &mut self.checked);
        let tokens = self.check.next_index();
        if tokens > before {
            self.silence.note_progress();
            self.agent.meters.tokens(tokens - before);
            self.course.note_tokens(self.agent, tokens);
            request.generated(tokens);
        }
        checked.map_err(|mismatch| TurnEnd::Failed(mismatch.into()))
    }

    /// Passes checked events on to the entry.
    async fn pass_on(&mut self, request: &Request<Started>) -> Result<(), TurnEnd> {
        if self.checked.is_empty() {
            return Ok(());
        }
        self.sink.open(self.agent);
        let Sink::Open(pipe) = &mut self.sink else {
            return Err(TurnEnd::Interrupted(Interrupt::Cancel));
        };
        let written = match poll_once(pipe.write(&self.checked)).await {
            Some(written) => written,
            None => {
                async { Err(TurnEnd::Interrupted(request.interrupted().await)) }
                    .or(async { Ok(pipe.write(&self.checked).await) })
                    .or(async {
                        smol::Timer::after(ENTRY_STALL_MAX).await;
                        Err(TurnEnd::Interrupted(Interrupt::Cancel))
                    })
                    .await?
            }
        };
        if written.is_err() {
            return Err(TurnEnd::Interrupted(Interrupt::Cancel));
        }
        // The engine is not silent while the entry is slow.
        self.silence.note_progress();
        self.checked.clear();
        Ok(())
    }

    /// Reads the end of an answer that is whole; only then may its connection
    /// serve another request.
    async fn read_end(&mut self, mut answer: Answer) -> TurnEnd {
        if self.check.end().is_err() {
            return TurnEnd::Whole;
        }
        match poll_once(answer.is_at_end()).await {
            Some(true) => answer.release(),
            Some(false) => {}
            // The entry does not wait for that.
            None => async_global_executor::spawn(release_at_end(answer)).detach(),
        }
        TurnEnd::Whole
    }

    fn end_whole(self, request: Request<Started>) {
        if let Sink::Open(pipe) = self.sink {
            pipe.finish();
        }
        self.agent.on_whole(self.completion.fingerprint);
        self.course.note_end(self.agent, request.id(), End::Whole);
        request.finish(End::Whole);
    }

    async fn end_failed(self, request: Request<Started>, fault: &Fault) {
        self.agent.on_fault(&request, fault).await;
        match self.sink {
            Sink::Waiting(entry) => entry.refuse(fault.refusal()),
            // What was checked before the fault is the caller's own.
            Sink::Open(mut pipe) => drop(poll_once(pipe.write(&self.checked)).await),
            Sink::Gone => {}
        }
        if !matches!(fault, Fault::Unreachable(_) | Fault::Unsendable(_)) {
            self.agent.upstream.cancel(request.id()).await;
        }
        self.course.note_end(self.agent, request.id(), End::Failed);
        request.finish(End::Failed);
    }

    async fn end_cancelled(self, request: Request<Started>) {
        if let Sink::Waiting(entry) = self.sink {
            entry.refuse(cancelled());
        }
        self.agent.upstream.cancel(request.id()).await;
        self.course
            .note_end(self.agent, request.id(), End::Cancelled);
        request.finish(End::Cancelled);
    }

    /// Stops the request at the engine and waits for another start.
    async fn pause(&mut self, request: Request<Started>) -> Option<Request<Started>> {
        self.agent.upstream.cancel(request.id()).await;
        self.check.restart();
        let tokens = self.check.next_index();
        self.agent.note_paused(request.id(), tokens);
        let sink = &mut self.sink;
        async { request.pause().resumed().await }
            .or(async {
                sink.gone().await;
                None
            })
            .await
    }
}

impl Sink {
    /// Begins the answer, if it has not begun.
    fn open(&mut self, agent: &Agent) {
        if let Sink::Waiting(entry) = self {
            let (writer, reader) = pipe(agent.in_flight.enter());
            *self = match entry.answer(Outcome::Stream(reader)) {
                true => Sink::Open(writer),
                false => Sink::Gone,
            };
        }
    }

    /// Waits until the entry is gone. Before the answer begins, the handler
    /// of the dispatch notices that and cancels the request.
    async fn gone(&mut self) {
        match self {
            Sink::Waiting(_) => std::future::pending().await,
            Sink::Open(pipe) => pipe.reader_gone().await,
            Sink::Gone => {}
        }
    }
}

/// Waits a short time for the end of an answer.
async fn release_at_end(mut answer: Answer) {
    let late = async {
        smol::Timer::after(END_WAIT_MAX).await;
        false
    };
    if answer.is_at_end().or(late).await {
        answer.release();
    }
}

fn cancelled() -> Refusal {
    Refusal::may_have_run(
        types::ErrorCode::Recalled,
        "the request was cancelled after it had started",
    )
}
