//! Claims under lost answers, late writes and crashes of the owner.
//!
//! Several submissions of one idempotency key run against one stored object
//! and one service that counts its runs.

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
    AnswerLost,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Run {
    Whole,
    Refused,
    /// It ran, but its answer was lost.
    Lost,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Step(usize, Fault, Run),
    Crash(usize),
    Deliver(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let fault = prop_oneof![
        5 => Just(Fault::None),
        1 => Just(Fault::Refused),
        2 => Just(Fault::AnswerLost),
        2 => Just(Fault::Late),
    ];
    let run = prop_oneof![Just(Run::Whole), Just(Run::Refused), Just(Run::Lost)];
    prop_oneof![
        10 => (0..SUBMISSIONS, fault, run).prop_map(|(who, fault, run)| Op::Step(who, fault, run)),
        1 => (0..SUBMISSIONS).prop_map(Op::Crash),
        2 => (0..6_usize).prop_map(Op::Deliver),
    ]
}

enum Submission {
    Claiming(Claiming),
    Owned(Owned),
    Settling(Settling),
    Abandoned(Abandoned),
    Over,
}

#[derive(Default)]
struct World {
    object: Option<(u64, ClaimRecord)>,
    next_version: u64,
    late_writes: Vec<Step>,
    /// Submissions that ran, by number.
    ledger: Vec<usize>,
    /// Submissions told that they did not run.
    told_not_run: Vec<usize>,
}

fn record(who: usize) -> ClaimRecord {
    ClaimRecord {
        nonce: format!("nonce-{who}"),
        owner: format!("entry-{who}").into(),
        content: Fingerprint::of("/orders", b"one last, left foot"),
        created_unix_ms: 0,
        deadline_ms: 1_000,
        outcome: None,
    }
}

impl World {
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
            Fault::AnswerLost => {
                self.write(step);
                WriteResult::OutcomeUnknown
            }
            Fault::Late => {
                self.late_writes.push(step.clone());
                WriteResult::OutcomeUnknown
            }
        }
    }

    fn read(&self, fault: Fault) -> ReadResult<ClaimRecord> {
        match (&self.object, fault) {
            (_, Fault::Refused | Fault::AnswerLost) => ReadResult::Failed,
            (None, _) => ReadResult::Absent,
            (Some((version, record)), _) => ReadResult::Found {
                version: *version,
                record: record.clone(),
            },
        }
    }

    fn step(&mut self, who: usize, submission: Submission, fault: Fault, run: Run) -> Submission {
        match submission {
            Submission::Claiming(claiming) => {
                let progress = match claiming.step() {
                    Step::Read => claiming.on_read(self.read(fault)),
                    step => claiming.on_create(self.faulty_write(&step, fault)),
                };
                self.after_claiming(who, progress)
            }
            Submission::Owned(owned) => self.dispatch(who, owned, run),
            Submission::Settling(settling) => {
                let result = self.faulty_write(settling.step(), fault);
                settling
                    .on_result(result)
                    .map_or(Submission::Over, Submission::Settling)
            }
            Submission::Abandoned(abandoned) => {
                let next = match abandoned.step() {
                    Step::Read => abandoned.on_read(self.read(fault)),
                    step => abandoned.on_deleted(self.faulty_write(&step, fault)),
                };
                next.map_or(Submission::Over, Submission::Abandoned)
            }
            Submission::Over => Submission::Over,
        }
    }

    fn after_claiming(&mut self, who: usize, progress: Progress) -> Submission {
        match progress {
            Progress::Continue(claiming) => Submission::Claiming(claiming),
            Progress::Owned(owned) => Submission::Owned(owned),
            Progress::Existing(_) => Submission::Over,
            Progress::StoreUnavailable(abandoned) => {
                self.told_not_run.push(who);
                Submission::Abandoned(abandoned)
            }
        }
    }

    fn dispatch(&mut self, who: usize, owned: Owned, run: Run) -> Submission {
        let settling = match run {
            Run::Refused => {
                self.told_not_run.push(who);
                owned.release()
            }
            Run::Whole => {
                self.ledger.push(who);
                owned.settle(Outcome::Answer {
                    status: 200,
                    content_type: None,
                    body: "made".into(),
                })
            }
            Run::Lost => {
                self.ledger.push(who);
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

    /// However submissions of one key race, crash and lose answers, the
    /// request runs at most once, and whoever was told "not run" did not run.
    #[test]
    fn at_most_one_run(ops in proptest::collection::vec(op(), 1..100)) {
        let mut world = World::default();
        let mut submissions: Vec<Submission> = (0..SUBMISSIONS)
            .map(|who| Submission::Claiming(Claiming::new(record(who), 0)))
            .collect();

        for op in ops {
            match op {
                Op::Step(who, fault, run) => {
                    let submission = std::mem::replace(&mut submissions[who], Submission::Over);
                    submissions[who] = world.step(who, submission, fault, run);
                }
                Op::Crash(who) => submissions[who] = Submission::Over,
                Op::Deliver(which) if which < world.late_writes.len() => {
                    let late = world.late_writes.remove(which);
                    world.write(&late);
                }
                Op::Deliver(_) => {}
            }
            prop_assert!(world.ledger.len() <= 1, "ran for {:?}", world.ledger);
        }

        for who in &world.told_not_run {
            prop_assert!(!world.ledger.contains(who), "{who} was told not run, and ran");
        }
    }
}

#[test]
fn a_lost_answer_to_the_create_is_settled_by_the_nonce() {
    let mut world = World::default();
    let claiming = Claiming::new(record(0), 0);

    let result = world.faulty_write(&claiming.step(), Fault::AnswerLost);
    let Progress::Continue(claiming) = claiming.on_create(result) else {
        panic!("an unsure create is read back");
    };
    assert_eq!(claiming.step(), Step::Read);
    let progress = claiming.on_read(world.read(Fault::None));

    assert!(matches!(progress, Progress::Owned(_)));
}

#[rstest::rstest]
#[case::other_content("/other", None, 0, ExistingClaim::KeyReused)]
#[case::young("/orders", None, 0, ExistingClaim::InProgress)]
#[case::owner_gone("/orders", None, 60_000, ExistingClaim::OutcomeUnknown)]
#[case::unknown("/orders", Some(Outcome::Unknown), 0, ExistingClaim::OutcomeUnknown)]
fn existing_claims_are_judged(
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
