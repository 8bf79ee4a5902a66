//! Model test of claims under lost responses, delayed writes and crashes of the
//! owner.
//!
//! Several submissions of one idempotency key share one claim object and one
//! service that records its runs.

use coord::{
    claim::{
        Abandoned, ClaimRecord, Claiming, ExistingClaim, Outcome, Owned, Progress, Settling, Step,
    },
    ReadResult, WriteResult,
};
use proptest::prelude::*;
use types::Fingerprint;

const SUBMISSIONS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Refused,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write takes effect at a later [`Op::Deliver`].
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum DispatchResult {
    Completed,
    Refused,
    /// The request ran, but its response was lost.
    ResponseLost,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A submission makes its next call.
    Step(usize, Fault, DispatchResult),
    /// The entry of a submission crashes.
    Crash(usize),
    /// A delayed write takes effect.
    Deliver(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let fault = prop_oneof![
        5 => Just(Fault::None),
        1 => Just(Fault::Refused),
        2 => Just(Fault::ResponseLost),
        2 => Just(Fault::Delayed),
    ];
    let dispatch_result = prop_oneof![
        Just(DispatchResult::Completed),
        Just(DispatchResult::Refused),
        Just(DispatchResult::ResponseLost)
    ];
    prop_oneof![
        10 => (0..SUBMISSIONS, fault, dispatch_result)
            .prop_map(|(index, fault, dispatch_result)| Op::Step(index, fault, dispatch_result)),
        1 => (0..SUBMISSIONS).prop_map(Op::Crash),
        2 => (0..6_usize).prop_map(Op::Deliver),
    ]
}

enum Submission {
    Claiming(Claiming),
    Owned(Owned),
    Settling(Settling),
    Abandoned(Abandoned),
    Finished,
}

#[derive(Default)]
struct Simulation {
    object: Option<(u64, ClaimRecord)>,
    next_version: u64,
    delayed_writes: Vec<Step>,
    /// Submissions for which the request ran.
    runs: Vec<usize>,
    /// Submissions that were reported as not run.
    reported_not_run: Vec<usize>,
}

fn record(index: usize) -> ClaimRecord {
    ClaimRecord {
        nonce: format!("nonce-{index}"),
        owner: format!("entry-{index}").into(),
        content: Fingerprint::of("/orders", b"one last, left foot"),
        created_unix_ms: 0,
        deadline_ms: 1_000,
        outcome: None,
    }
}

impl Simulation {
    fn write(&mut self, step: &Step) -> WriteResult {
        let version = self.object.as_ref().map(|(version, _)| *version);
        let value = match step {
            Step::Create(record) if version.is_none() => Some(record.clone()),
            Step::Replace(at, record) if version == Some(*at) => Some(record.clone()),
            Step::Delete(at) if version == Some(*at) => None,
            _ => return WriteResult::Conflict,
        };
        self.next_version += 1;
        self.object = value.map(|record| (self.next_version, record));
        WriteResult::Written(self.next_version)
    }

    fn faulty_write(&mut self, step: &Step, fault: Fault) -> WriteResult {
        match fault {
            Fault::None => self.write(step),
            Fault::Refused => WriteResult::Refused,
            Fault::ResponseLost => {
                self.write(step);
                WriteResult::OutcomeUnknown
            }
            Fault::Delayed => {
                self.delayed_writes.push(step.clone());
                WriteResult::OutcomeUnknown
            }
        }
    }

    fn read(&self, fault: Fault) -> ReadResult<ClaimRecord> {
        match (&self.object, fault) {
            (_, Fault::Refused | Fault::ResponseLost) => ReadResult::Failed,
            (None, _) => ReadResult::Absent,
            (Some((version, record)), _) => ReadResult::Found {
                version: *version,
                record: record.clone(),
            },
        }
    }

    fn step(
        &mut self,
        index: usize,
        submission: Submission,
        fault: Fault,
        dispatch_result: DispatchResult,
    ) -> Submission {
        match submission {
            Submission::Claiming(claiming) => {
                let progress = match claiming.step() {
                    Step::Read => claiming.on_read(self.read(fault)),
                    step => claiming.on_create(self.faulty_write(&step, fault)),
                };
                self.after_claiming(index, progress)
            }
            Submission::Owned(owned) => self.dispatch(index, owned, dispatch_result),
            Submission::Settling(settling) => {
                let result = self.faulty_write(settling.step(), fault);
                settling
                    .on_result(result)
                    .map_or(Submission::Finished, Submission::Settling)
            }
            Submission::Abandoned(abandoned) => {
                let next = match abandoned.step() {
                    Step::Read => abandoned.on_read(self.read(fault)),
                    step => abandoned.on_deleted(self.faulty_write(&step, fault)),
                };
                next.map_or(Submission::Finished, Submission::Abandoned)
            }
            Submission::Finished => Submission::Finished,
        }
    }

    fn after_claiming(&mut self, index: usize, progress: Progress) -> Submission {
        match progress {
            Progress::Continue(claiming) => Submission::Claiming(claiming),
            Progress::Owned(owned) => Submission::Owned(owned),
            Progress::Existing(_) => Submission::Finished,
            Progress::StoreUnavailable(abandoned) => {
                self.reported_not_run.push(index);
                Submission::Abandoned(abandoned)
            }
        }
    }

    fn dispatch(
        &mut self,
        index: usize,
        owned: Owned,
        dispatch_result: DispatchResult,
    ) -> Submission {
        let settling = match dispatch_result {
            DispatchResult::Refused => {
                self.reported_not_run.push(index);
                owned.release()
            }
            DispatchResult::Completed => {
                self.runs.push(index);
                owned.settle(Outcome::Answer {
                    status: 200,
                    content_type: None,
                    body: "made".into(),
                })
            }
            DispatchResult::ResponseLost => {
                self.runs.push(index);
                owned.settle(Outcome::Unknown)
            }
        };
        Submission::Settling(settling)
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Submissions of one key race, crash and lose responses: the request runs at
    /// most once, and it did not run for a submission that reported "not run".
    #[test]
    fn request_runs_at_most_once(ops in proptest::collection::vec(op(), 1..100)) {
        let mut simulation = Simulation::default();
        let mut submissions: Vec<Submission> = (0..SUBMISSIONS)
            .map(|index| Submission::Claiming(Claiming::new(record(index), 0)))
            .collect();

        for op in ops {
            match op {
                Op::Step(index, fault, dispatch_result) => {
                    let submission =
                        std::mem::replace(&mut submissions[index], Submission::Finished);
                    submissions[index] = simulation.step(index, submission, fault, dispatch_result);
                }
                Op::Crash(index) => submissions[index] = Submission::Finished,
                Op::Deliver(write_index) if write_index < simulation.delayed_writes.len() => {
                    let delayed = simulation.delayed_writes.remove(write_index);
                    simulation.write(&delayed);
                }
                Op::Deliver(_) => {}
            }
            prop_assert!(
                simulation.runs.len() <= 1,
                "the request ran for submissions {:?}",
                simulation.runs
            );
        }

        for index in &simulation.reported_not_run {
            prop_assert!(
                !simulation.runs.contains(index),
                "submission {index} reported not run, but ran"
            );
        }
    }
}

#[test]
fn create_with_lost_response_is_recognized_by_nonce() {
    let mut simulation = Simulation::default();
    let claiming = Claiming::new(record(0), 0);

    let result = simulation.faulty_write(&claiming.step(), Fault::ResponseLost);
    let Progress::Continue(claiming) = claiming.on_create(result) else {
        panic!("a create with unknown outcome must be followed by a read");
    };
    assert_eq!(claiming.step(), Step::Read);
    let progress = claiming.on_read(simulation.read(Fault::None));

    assert!(matches!(progress, Progress::Owned(_)));
}

#[rstest::rstest]
#[case::different_route("/other", None, 0, ExistingClaim::KeyReused)]
#[case::before_deadline("/orders", None, 0, ExistingClaim::InProgress)]
#[case::after_deadline("/orders", None, 60_000, ExistingClaim::OutcomeUnknown)]
#[case::stored_unknown_outcome("/orders", Some(Outcome::Unknown), 0, ExistingClaim::OutcomeUnknown)]
fn existing_claim_is_evaluated(
    #[case] route: &str,
    #[case] outcome: Option<Outcome>,
    #[case] now_unix_ms: u64,
    #[case] expected: ExistingClaim,
) {
    let existing = ClaimRecord {
        outcome,
        ..record(0)
    };
    let content = Fingerprint::of(route, b"one last, left foot");

    assert_eq!(existing.evaluate(content, now_unix_ms), expected);
}
