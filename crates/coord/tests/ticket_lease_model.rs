//! Model test of the ticket lease under pauses, lost responses, delayed writes,
//! restarts, stale checks, and a store that comes back from an older copy.
//!
//! Three processes, two of them with one name, contend for the lease and send
//! orders to a receiver that judges them as the platform does.

use coord::{
    ticket_lease::{ListedTicket, Permit, Step, Ticket, TicketLease, Timing},
    WriteResult,
};
use proptest::prelude::*;
use rstest::rstest;
use types::TimeMs;

const TIMING: Timing = Timing {
    duration_ms: 3_000,
    margin_ms: 400,
    longest_order_ms: 1_000,
};
const PROCESSES: usize = 3;

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
enum Op {
    Advance(u64),
    Step(usize, Fault),
    /// A process sends an order, which takes effect this much later: at most the
    /// longest order, since a later one would not count.
    Order(usize, u64),
    Deliver(usize),
    /// The processes of a bit set act without faults for this many rounds of 100 ms,
    /// while the others are paused. Each sends orders of this duration.
    Work(usize, usize, u64),
    /// A process is replaced by another one of the same name.
    Restart(usize),
    Release(usize),
    /// The store keeps a copy of its tickets.
    Copy,
    /// The store comes back from its copy, with this many revisions given out since.
    Restore(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let fault = prop_oneof![
        8 => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::ResponseLost),
        1 => Just(Fault::Delayed),
    ];
    prop_oneof![
        2 => (1..900_u64).prop_map(Op::Advance),
        8 => (1..1_usize << PROCESSES, 1..50_usize, 0..=TIMING.longest_order_ms)
            .prop_map(|(set, rounds, ms)| Op::Work(set, rounds, ms)),
        8 => (0..PROCESSES, fault).prop_map(|(index, fault)| Op::Step(index, fault)),
        4 => (0..PROCESSES, 0..=TIMING.longest_order_ms).prop_map(|(index, ms)| Op::Order(index, ms)),
        1 => (0..8_usize).prop_map(Op::Deliver),
        1 => (0..PROCESSES).prop_map(Op::Restart),
        1 => (0..PROCESSES).prop_map(Op::Release),
    ]
}

/// As [`op`], with a store that is restored from copies.
fn op_with_restores() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => op(),
        1 => Just(Op::Copy),
        2 => prop_oneof![Just(0), 0..40_u64, Just(10_000)].prop_map(Op::Restore),
    ]
}

#[derive(Clone, Debug)]
enum StoreWrite {
    Create(String, Ticket),
    Replace(String, Ticket),
}

#[derive(Clone, Debug)]
struct Order {
    process: usize,
    run: u64,
    token: u64,
    effect_at: TimeMs,
}

struct Simulation {
    now: TimeMs,
    era: u32,
    revision: u64,
    /// Tickets with the revisions of their last writes, which are unique within an era.
    tickets: Vec<ListedTicket>,
    copy: (u64, Vec<ListedTicket>),
    delayed: Vec<StoreWrite>,
    pending: Vec<Order>,
    /// Orders in the sequence in which they took effect.
    applied: Vec<Order>,
    processes: Vec<TicketLease>,
    runs: Vec<u64>,
    next_run: u64,
    is_fencing_checked: bool,
}

fn name(process: usize) -> &'static str {
    ["a", "b", "a"][process]
}

impl Simulation {
    fn new(is_fencing_checked: bool) -> Self {
        let mut simulation = Self {
            now: TimeMs(0),
            era: 0,
            revision: 7,
            tickets: Vec::new(),
            copy: (7, Vec::new()),
            delayed: Vec::new(),
            pending: Vec::new(),
            applied: Vec::new(),
            processes: Vec::new(),
            runs: Vec::new(),
            next_run: 0,
            is_fencing_checked,
        };
        for process in 0..PROCESSES {
            let lease = simulation.start(process);
            simulation.processes.push(lease);
            simulation.runs.push(simulation.next_run);
        }
        simulation
    }

    fn start(&mut self, process: usize) -> TicketLease {
        self.next_run += 1;
        let nonce = format!("run{}", self.next_run);
        TicketLease::new(name(process).into(), nonce, TIMING, self.is_fencing_checked)
    }

    fn apply_write(&mut self, write: StoreWrite) -> WriteResult {
        let (name, ticket, must_exist) = match write {
            StoreWrite::Create(name, ticket) => (name, ticket, false),
            StoreWrite::Replace(name, ticket) => (name, ticket, true),
        };
        let existing = self.tickets.iter_mut().find(|listed| listed.name == name);
        self.revision += 1;
        let revision = self.revision;
        match (existing, must_exist) {
            (Some(listed), true) => (listed.revision, listed.ticket) = (revision, ticket),
            (None, false) => self.tickets.push(ListedTicket {
                name,
                revision,
                ticket,
            }),
            _ => return WriteResult::Conflict,
        }
        WriteResult::Written(revision)
    }

    /// Returns the tickets as a list shows them: with positions in the present era.
    fn listed(&self) -> Vec<ListedTicket> {
        let tickets = self.tickets.iter().cloned();
        tickets
            .map(|ticket| ListedTicket {
                revision: u64::from(self.era) << 40 | ticket.revision,
                ..ticket
            })
            .collect()
    }

    fn restore(&mut self, revisions_since: u64) {
        self.era += 1;
        self.revision = self.copy.0 + revisions_since;
        self.tickets = self.copy.1.clone();
    }

    fn advance(&mut self, span_ms: u64) {
        self.now = self.now + span_ms;
        self.pending.sort_by_key(|order| order.effect_at);
        while self
            .pending
            .first()
            .is_some_and(|order| order.effect_at <= self.now)
        {
            let order = self.pending.remove(0);
            self.applied.push(order);
        }
    }

    /// Returns whether an order of the process is pending, during which it takes
    /// no other action.
    fn is_ordering(&self, process: usize) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|order| order.process == process)
    }

    fn step(&mut self, process: usize, fault: Fault) {
        if self.is_ordering(process) {
            return;
        }
        let now = self.now;
        let era = self.era;
        let listed = self.listed();
        let lease = &mut self.processes[process];
        let step = lease.next(now);
        let write = match step {
            Step::WaitUntil(_) => return,
            Step::Check | Step::List if !matches!(fault, Fault::None) => {
                return lease.on_read_failed(now);
            }
            Step::Check => {
                lease.on_era(now, era);
                return lease.on_activity(now, &listed);
            }
            Step::List => {
                lease.on_era(now, era);
                return lease.on_listed(now, &listed);
            }
            Step::Delete { name } => {
                self.tickets.retain(|listed| listed.name != name);
                lease.on_deleted();
                return lease.on_era(now, era);
            }
            Step::Create { name, ticket } => StoreWrite::Create(name, ticket),
            Step::Replace { name, ticket } => StoreWrite::Replace(name, ticket),
        };
        self.processes[process].on_write_started(now);
        let result = match fault {
            Fault::None => self.apply_write(write),
            Fault::Refused => WriteResult::Refused,
            Fault::ResponseLost => {
                self.apply_write(write);
                WriteResult::OutcomeUnknown
            }
            Fault::Delayed => {
                self.delayed.push(write);
                WriteResult::OutcomeUnknown
            }
        };
        if !matches!(result, WriteResult::OutcomeUnknown) {
            self.processes[process].on_era(now, era);
        }
        self.processes[process].on_written(now, result);
    }

    fn order(&mut self, process: usize, duration_ms: u64) {
        if self.is_ordering(process) {
            return;
        }
        if let Some(Permit { fencing, .. }) = self.processes[process].permit(self.now) {
            self.pending.push(Order {
                process,
                run: self.runs[process],
                token: fencing,
                effect_at: self.now + duration_ms,
            });
        }
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Advance(span_ms) => self.advance(span_ms),
            Op::Step(process, fault) => self.step(process, fault),
            Op::Order(process, duration_ms) => self.order(process, duration_ms),
            Op::Deliver(index) if index < self.delayed.len() => {
                let write = self.delayed.remove(index);
                self.apply_write(write);
            }
            Op::Deliver(_) => {}
            Op::Work(set, rounds, order_ms) => {
                for _ in 0..rounds {
                    for process in (0..PROCESSES).filter(|process| set >> process & 1 == 1) {
                        for _ in 0..3 {
                            self.step(process, Fault::None);
                        }
                        self.order(process, order_ms);
                    }
                    self.advance(100);
                }
            }
            Op::Restart(process) => {
                self.processes[process] = self.start(process);
                self.runs[process] = self.next_run;
            }
            Op::Release(process) if !self.is_ordering(process) => {
                self.processes[process].release();
            }
            Op::Release(_) => {}
            Op::Copy => self.copy = (self.revision, self.tickets.clone()),
            Op::Restore(revisions_since) => self.restore(revisions_since),
        }
    }

    fn permits(&self) -> usize {
        let leases = self.processes.iter();
        leases
            .filter(|lease| lease.permit(self.now).is_some())
            .count()
    }

    /// Runs all operations and checks the rules of the platform.
    fn check_rules(&mut self, ops: Vec<Op>) -> Result<(), TestCaseError> {
        for op in ops {
            self.run(op);
            prop_assert!(self.permits() <= 1, "two processes have permits");
        }
        self.advance(TIMING.longest_order_ms);
        prop_assert_eq!(broken_rule(&self.applied), None);
        Ok(())
    }

    /// Lets processes act without faults for a time.
    fn run_undisturbed(&mut self, processes: &[usize], span_ms: u64) {
        for _ in 0..span_ms / 50 {
            for process in processes {
                for _ in 0..6 {
                    self.step(*process, Fault::None);
                }
            }
            self.advance(50);
        }
    }
}

/// Returns the rule of the platform that the applied orders break.
fn broken_rule(applied: &[Order]) -> Option<String> {
    for (index, order) in applied.iter().enumerate() {
        for former in &applied[..index] {
            if former.token > order.token {
                return Some(format!("{order:?} after {former:?}"));
            }
            if former.token == order.token && former.run != order.run {
                return Some(format!("{order:?} and {former:?} have one token"));
            }
        }
        for (middle_index, middle) in applied[..index].iter().enumerate() {
            let is_recent =
                |first: &Order| order.effect_at.since(first.effect_at) < TIMING.duration_ms;
            let returns = |first: &Order| {
                let (one, two) = (name(first.process), name(order.process));
                (one == two && one != name(middle.process))
                    || (first.run == order.run && first.run != middle.run)
            };
            let mut earlier = applied[..middle_index].iter();
            if let Some(first) = earlier.find(|first| is_recent(first) && returns(first)) {
                return Some(format!("{first:?}, {middle:?}, {order:?}"));
            }
        }
    }
    None
}

/// Number of schedules of each property; `LIMPETGW_SCHEDULES` sets another one.
const SCHEDULES: u32 = 2_000;

fn config() -> ProptestConfig {
    let schedules = std::env::var("LIMPETGW_SCHEDULES").ok();
    ProptestConfig {
        cases: schedules
            .and_then(|text| text.parse().ok())
            .unwrap_or(SCHEDULES),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards rules 2 to 4 of the platform: a token with two holders, a lower token
    /// after a higher one, and a holder that returns too soon.
    #[test]
    fn applied_orders_keep_the_rules(
        is_fencing_checked in any::<bool>(),
        ops in proptest::collection::vec(op(), 1..40),
    ) {
        let mut simulation = Simulation::new(is_fencing_checked);

        simulation.check_rules(ops)?;
    }

    /// Guards the same rules against a store that loses tickets, and whose revisions are
    /// given out again: tokens must rise all the same, and no permit of the era before
    /// may be in use together with one of the present era.
    #[test]
    fn applied_orders_keep_the_rules_if_the_store_is_restored(
        is_fencing_checked in any::<bool>(),
        has_era in any::<bool>(),
        ops in proptest::collection::vec(op_with_restores(), 1..40),
    ) {
        let mut simulation = Simulation::new(is_fencing_checked);
        // A store that names no era before it is first restored.
        simulation.era = u32::from(has_era);

        simulation.check_rules(ops)?;
    }

    /// Guards against a restore after which nobody gets the lease any more.
    #[test]
    fn lease_is_held_again_after_the_store_was_restored(
        ops in proptest::collection::vec(op_with_restores(), 1..40),
    ) {
        let mut simulation = Simulation::new(false);
        for op in ops {
            simulation.run(op);
        }

        simulation.run_undisturbed(&[0, 1, 2], 25_000);

        prop_assert_eq!(simulation.permits(), 1);
    }

    /// Guards against faults after which nobody gets the lease any more.
    #[test]
    fn lease_is_held_again_after_faults(
        ops in proptest::collection::vec(op(), 1..40),
    ) {
        let mut simulation = Simulation::new(false);
        for op in ops {
            simulation.run(op);
        }

        simulation.run_undisturbed(&[0, 1, 2], 25_000);

        prop_assert_eq!(
            simulation.permits(),
            1,
            "at {:?}: {:#?}, {:#?}",
            simulation.now,
            simulation.processes,
            simulation.tickets
        );
    }
}

/// Guards the time within which reports are due after a kill at the worst moment.
#[test]
fn killed_holder_is_replaced_within_six_seconds() {
    let mut simulation = Simulation::new(false);
    simulation.run_undisturbed(&[0], 6_000);
    assert_eq!(simulation.permits(), 1);
    simulation.run_undisturbed(&[0, 1], 2_000);

    simulation.run_undisturbed(&[1], 6_000);

    assert!(simulation.processes[1].permit(simulation.now).is_some());
}

/// Guards against a second takeover that starts anew because the ticket of the first
/// holder was deleted meanwhile, and against announcements of that holder that are
/// heard again and again.
#[test]
fn second_killed_holder_is_replaced_without_another_wait() {
    let mut simulation = Simulation::new(true);
    simulation.run_undisturbed(&[0], 6_000);
    let first = simulation.tickets[0].clone();
    simulation.processes[2].set_contention(true, 800, 700);
    simulation.run_undisturbed(&[0, 1, 2], 2_000);
    simulation.run_undisturbed(&[1, 2], 6_000);
    assert!(simulation.processes[1].permit(simulation.now).is_some());

    for _ in 0..170 {
        let now = simulation.now;
        simulation.processes[2].on_announced(now, &first.name, first.revision);
        simulation.run_undisturbed(&[2], 50);
    }

    // It has held the lease before, by its name, and waits for the lease time.
    assert!(simulation.processes[2].permit(simulation.now).is_some());
}

/// Guards against a release that makes the next holder wait for the expiry.
#[test]
fn released_lease_is_taken_over_within_two_seconds() {
    let mut simulation = Simulation::new(true);
    simulation.run_undisturbed(&[0], 6_000);
    simulation.run_undisturbed(&[0, 1], 2_000);
    simulation.processes[0].set_contention(false, 0, 700);
    simulation.processes[0].release();

    simulation.run_undisturbed(&[0, 1], 2_000);

    assert!(simulation.processes[1].permit(simulation.now).is_some());
}

/// Returns two processes that could not read the tickets for longer than a lease, and
/// then both find it vacant.
fn contenders_after_an_outage() -> Simulation {
    let mut simulation = Simulation::new(true);
    for process in [0, 1] {
        simulation.step(process, Fault::None);
    }
    for _ in 0..10 {
        simulation.advance(500);
        for process in [0, 1] {
            simulation.step(process, Fault::Refused);
        }
    }
    simulation.advance(500);
    simulation
}

/// Guards against a whole lease of waiting, and another one as a holder that returns,
/// after two processes have created a ticket at the same time. The older one may have got
/// the lease before the newer one was created.
#[rstest]
fn lease_is_held_soon_after_two_tickets_were_created(
    #[values(true, false)] older_gets_the_lease: bool,
) {
    let mut simulation = contenders_after_an_outage();
    for process in [0, 1] {
        simulation.step(process, Fault::None);
    }
    simulation.step(0, Fault::None);
    if older_gets_the_lease {
        simulation.step(0, Fault::None);
        assert!(simulation.processes[0].held_token().is_some());
    }
    simulation.step(1, Fault::None);
    assert_eq!(simulation.tickets.len(), 2);

    simulation.run_undisturbed(&[0, 1], 1_000);

    assert!(simulation.processes[1].permit(simulation.now).is_some());
}

/// Guards against tickets of all processes at the end of an outage that has lasted longer
/// than the times by which they contend one after the other.
#[test]
fn processes_contend_one_after_the_other_after_an_outage() {
    let mut simulation = contenders_after_an_outage();
    simulation.processes[1].set_contention(true, 250, 700);
    // Both read the tickets before either creates one.
    for process in [0, 1] {
        simulation.step(process, Fault::None);
    }

    simulation.run_undisturbed(&[0, 1], 2_000);

    assert_eq!(simulation.tickets.len(), 1);
    assert!(simulation.processes[0].permit(simulation.now).is_some());
}

/// Guards against an object that can't be read and hides who held the lease before: a
/// process that returns would not wait for the lease time.
#[test]
fn ticket_of_unknown_owner_does_not_hide_former_holders() {
    let mut simulation = Simulation::new(true);
    simulation.run_undisturbed(&[0], 6_000);
    simulation.run_undisturbed(&[0, 1], 2_000);
    simulation.processes[0].set_contention(false, 0, 700);
    simulation.processes[0].release();
    simulation.run_undisturbed(&[0, 1], 1_500);
    assert!(simulation.processes[1].permit(simulation.now).is_some());
    simulation.processes[1].set_contention(false, 0, 700);
    simulation.processes[1].release();
    simulation.run_undisturbed(&[0, 1], 200);

    // The store loses all tickets but one that can't be read, which vanishes later.
    simulation.revision += 1;
    simulation.tickets = vec![ListedTicket {
        name: "unreadable".into(),
        revision: simulation.revision,
        ticket: Ticket::of_unknown_owner(),
    }];
    simulation.run_undisturbed(&[0], 1_000);
    simulation.processes[0].set_contention(true, 0, 700);

    let before = simulation.now;
    while simulation.processes[0].held_token().is_none() {
        simulation.run_undisturbed(&[0], 50);
        assert!(simulation.now.since(before) < 10_000);
    }
    assert!(simulation.processes[0].permit(simulation.now).is_none());
}

/// Guards against a ticket that was given up unheld and hides a holder before it.
#[test]
fn ticket_released_without_being_held_does_not_make_the_lease_vacant() {
    let mut simulation = Simulation::new(true);
    simulation.run_undisturbed(&[0], 6_000);
    // Process 1 gets a ticket while process 0 is cut off, and gives it up.
    let mut ticket = simulation.tickets[0].clone();
    simulation.revision += 1;
    ticket.name = "other".into();
    ticket.revision = simulation.revision;
    ticket.ticket.nonce = "other".into();
    ticket.ticket.token = Some(simulation.revision);
    ticket.ticket.released = true;
    ticket.ticket.held = false;
    simulation.tickets.push(ticket);

    for _ in 0..20 {
        simulation.step(1, Fault::None);
    }

    assert_eq!(simulation.permits(), 1);
    assert!(simulation.processes[1].permit(simulation.now).is_none());
}

/// Guards against a copy whose newest ticket is released, while the holder after it, whose
/// ticket is lost, has a permit. The other process has either read the tickets before, or
/// starts after the store came back.
#[rstest]
fn released_ticket_of_a_copy_does_not_make_the_lease_vacant(
    #[values(true, false)] starts_later: bool,
) {
    let mut simulation = Simulation::new(true);
    simulation.era = 1;
    simulation.run_undisturbed(&[0], 6_000);
    simulation.run_undisturbed(&[0, 1], 1_000);
    simulation.processes[0].set_contention(false, 0, 700);
    simulation.processes[0].release();
    simulation.run_undisturbed(&[0], 500);
    simulation.run(Op::Copy);
    simulation.run_undisturbed(&[1], 1_000);
    assert!(simulation.processes[1].permit(simulation.now).is_some());

    simulation.restore(0);
    if starts_later {
        simulation.run(Op::Restart(2));
    }
    for _ in 0..30 {
        simulation.run_undisturbed(&[2], 50);
        assert!(simulation.permits() <= 1, "two processes have permits");
    }

    let token_before = simulation.processes[1].held_token();
    simulation.run_undisturbed(&[2], 6_000);
    assert!(simulation.processes[2].held_token() > token_before);
}

/// The token must rise although the store has lost all tickets, as long as its
/// revisions rise.
#[rstest]
#[case::held(true)]
#[case::unheld(false)]
fn token_rises_after_tickets_are_lost(#[case] is_held: bool) {
    let mut simulation = Simulation::new(true);
    simulation.run_undisturbed(&[0], 6_000);
    let before = simulation.processes[0].held_token();
    simulation.tickets.clear();

    let alive: &[usize] = if is_held { &[0, 1] } else { &[1] };
    simulation.run_undisturbed(alive, 10_000);

    let token = |process: usize| simulation.processes[process].held_token();
    assert!(token(0).max(token(1)) > before);
}

/// Guards rule 4: a gateway that gets the lease back by releases of others must
/// not send before the lease time has passed.
#[test]
fn returning_holder_waits_for_the_lease_time() {
    let mut simulation = Simulation::new(true);
    simulation.run_undisturbed(&[0], 6_000);
    for (holder, next) in [(0, 1), (1, 0)] {
        simulation.processes[holder].set_contention(false, 0, 700);
        simulation.processes[next].set_contention(true, 0, 700);
        simulation.processes[holder].release();
        simulation.run_undisturbed(&[0, 1], 1_500);
        assert!(simulation.processes[next].held_token().is_some());
    }

    assert!(simulation.processes[0].permit(simulation.now).is_none());
    simulation.run_undisturbed(&[0, 1], 3_000);
    assert!(simulation.processes[0].permit(simulation.now).is_some());
}

/// Guards against a pause between a renewal and the list that confirms it, during
/// which the lease of the renewal expires for others.
#[test]
fn renewal_counts_from_the_time_at_which_its_write_was_sent() {
    let mut simulation = Simulation::new(true);
    simulation.run_undisturbed(&[0], 6_000);
    while !matches!(
        simulation.processes[0].next(simulation.now),
        Step::Replace { .. }
    ) {
        simulation.advance(10);
    }
    simulation.step(0, Fault::None);
    simulation.advance(2_000);
    simulation.step(0, Fault::None);

    assert!(simulation.processes[0].held_token().is_some());
    assert!(simulation.processes[0].permit(simulation.now).is_none());
}
