//! Counting, merging and reporting of usage, and the time that it follows.

use policy::{
    metering::{Pending, ReportPlan, UsageBook, UsagePart, WindowCounts, WindowTiming},
    true_time::TrueTime,
};
use proptest::prelude::*;
use rstest::rstest;
use types::{InstanceId, TeamName, TimeMs};

const TIMING: WindowTiming = WindowTiming {
    window_ms: 5_000,
    due_ms: 10_000,
};
/// Window in which the tests begin.
const FIRST: u64 = 353_445_120;

fn book(gateway: &str, run: u64) -> UsageBook {
    UsageBook::new(gateway.into(), run, FIRST)
}

fn count(book: &mut UsageBook, window: u64, team: &str, times: u64) {
    for _ in 0..times {
        book.count(window, &TeamName::from(team));
    }
}

fn close(book: &mut UsageBook, window: u64) {
    book.close_windows(&TIMING, TIMING.end_ms(window) + 100);
}

fn total(book: &UsageBook, window: u64) -> Vec<(String, u64)> {
    let counts: WindowCounts = book.total(window);
    counts
        .into_iter()
        .map(|(team, count)| (team.to_string(), count))
        .collect()
}

/// Guards against counts that grow or shrink because a message is repeated, late or
/// out of order.
#[rstest]
#[case::in_order(&[0, 1, 2])]
#[case::reversed(&[2, 1, 0])]
#[case::repeated(&[0, 2, 2, 1, 0, 1])]
fn parts_merge_to_the_same_counts_in_any_order(#[case] order: &[usize]) {
    let mut sender = book("edge-1", 1);
    let mut messages = Vec::new();
    for _ in 0..3 {
        count(&mut sender, FIRST, "hule930", 4);
        messages.push(sender.own_parts(FIRST, 40));
    }
    let mut receiver = book("edge-2", 2);
    count(&mut receiver, FIRST, "fida11", 1);

    for index in order {
        for part in &messages[*index] {
            receiver.merge_part(part, Some(TimeMs(1_000)));
        }
    }

    let expected = [("fida11".to_owned(), 1), ("hule930".to_owned(), 12)];
    assert_eq!(total(&receiver, FIRST), expected);
}

/// Guards against the loss of what a gateway counted before it was killed and
/// started again under its name.
#[test]
fn runs_of_one_name_are_added() {
    let mut holder = book("edge-2", 9);
    for run in [1, 2] {
        let mut sender = book("edge-1", run);
        count(&mut sender, FIRST, "hule930", 3);
        for part in sender.own_parts(FIRST, 40) {
            holder.merge_part(&part, Some(TimeMs(run)));
        }
    }

    assert_eq!(total(&holder, FIRST), [("hule930".to_owned(), 6)]);
}

/// Guards against fixing a window when the mark that closes it has arrived, but a
/// part of its counts was lost.
#[test]
fn window_is_closed_only_when_all_parts_have_arrived() {
    let mut sender = book("edge-1", 1);
    for team in ["a", "b", "c"] {
        count(&mut sender, FIRST, team, 2);
    }
    close(&mut sender, FIRST);
    let parts = sender.own_parts(FIRST, 2);
    assert_eq!(parts.len(), 2);
    let mut holder = book("edge-2", 2);
    close(&mut holder, FIRST);
    let now = TimeMs(1_000);

    holder.merge_part(&parts[0], Some(now));
    assert!(!holder.is_closed_by_all(now, FIRST, &[]));
    holder.merge_part(&parts[1], Some(now));
    assert!(holder.is_closed_by_all(now, FIRST, &[]));
}

/// Guards against a new holder that fixes a window before it has heard the others.
#[test]
fn window_is_not_closed_before_expected_gateways_are_heard() {
    let mut holder = book("edge-2", 2);
    close(&mut holder, FIRST);

    let expected: [InstanceId; 1] = ["edge-1".into()];
    assert!(!holder.is_closed_by_all(TimeMs(1_000), FIRST, &expected));
    assert!(holder.is_closed_by_all(TimeMs(1_000), FIRST, &[]));
}

/// A record holds everything up to the window that is open, with the windows in
/// which the run counted nothing.
#[test]
fn record_of_a_run_closes_its_windows() {
    let mut sender = book("edge-1", 1);
    count(&mut sender, FIRST, "hule930", 2);
    close(&mut sender, FIRST + 1);
    let mut holder = book("edge-2", 2);
    close(&mut holder, FIRST + 1);
    let now = TimeMs(1_000);

    for part in UsageBook::parts_of(&"edge-1".into(), sender.own()) {
        holder.merge_part(&part, Some(now));
    }

    assert!(holder.is_closed_by_all(now, FIRST, &["edge-1".into()]));
    assert!(holder.is_closed_by_all(now, FIRST + 1, &["edge-1".into()]));
    assert_eq!(total(&holder, FIRST), [("hule930".to_owned(), 2)]);
}

/// Guards against windows of a wrong clock, and against memory that grows.
#[test]
fn windows_far_ahead_or_past_are_ignored() {
    let mut holder = book("edge-2", 2);
    for window in [FIRST - 40, FIRST + 40] {
        let part = UsagePart {
            gateway: "edge-1".into(),
            run: 1,
            first: window,
            window,
            closed_total: None,
            counts: vec![("a".into(), 1)],
        };
        holder.merge_part(&part, Some(TimeMs(1)));
        assert!(total(&holder, window).is_empty());
    }
}

/// A request counted late goes to a window whose counts are not final.
#[test]
fn closed_window_does_not_grow() {
    let mut book = book("edge-1", 1);
    close(&mut book, FIRST);

    count(&mut book, FIRST, "a", 1);

    assert!(total(&book, FIRST).is_empty());
    assert_eq!(total(&book, FIRST + 1).len(), 1);
}

/// Guards the time of the report: as soon as all have closed the window, at 7 s
/// otherwise, oldest window first, and never after a minute.
#[test]
fn windows_are_reported_in_order_and_in_time() {
    let mut plan = ReportPlan::new(Some(FIRST - 1), FIRST);
    let end_ms = TIMING.end_ms(FIRST);
    let pending = |plan: &ReportPlan, unix_ms, closed| plan.pending(&TIMING, unix_ms, |_| closed);

    assert_eq!(pending(&plan, end_ms - 1, true), Pending::WaitUntil(end_ms));
    assert_eq!(pending(&plan, end_ms, true), Pending::Report(FIRST));
    let fix_at = end_ms + 7_000;
    assert_eq!(pending(&plan, end_ms, false), Pending::WaitUntil(fix_at));
    assert_eq!(pending(&plan, fix_at, false), Pending::Report(FIRST));
    assert_eq!(
        pending(&plan, end_ms + 60_001, false),
        Pending::Abandon(FIRST)
    );
    plan.on_done(FIRST);
    assert_eq!(
        pending(&plan, end_ms, true),
        Pending::WaitUntil(end_ms + 5_000)
    );
}

const START_MS: u64 = 1_767_225_600_000;

/// Guards against counts in wrong windows after a start during a step of the clock.
#[rstest]
#[case::right(0)]
#[case::ahead(3_600_000)]
#[case::behind(-30_000)]
fn start_with_a_wrong_clock_is_corrected_by_peers(#[case] error_ms: i64) {
    let boot = TimeMs(50_000);
    let mut time = TrueTime::new((START_MS as i64 + error_ms) as u64, boot);

    for peer in ["a", "b", "c"] {
        time.on_peer_time(boot, &peer.into(), START_MS, 500);
    }
    let correction_ms = time.settle(boot, 4_000).expect("peers agree");

    assert!((correction_ms + error_ms).abs() <= 400, "{correction_ms}");
    assert!(time.unix_ms(boot).abs_diff(START_MS) <= 400);
}

/// Guards against one peer with a wrong clock, and against messages that waited
/// during a pause.
#[test]
fn settled_time_does_not_follow_peers() {
    let mut time = TrueTime::new(START_MS, TimeMs(0));
    time.on_peer_time(TimeMs(0), &"a".into(), START_MS + 90_000, 500);
    assert_eq!(time.settle(TimeMs(100), 4_000), None);
    assert_eq!(time.settle(TimeMs(4_000), 4_000), Some(0));

    for peer in ["a", "b", "c"] {
        time.on_peer_time(TimeMs(9_000), &peer.into(), START_MS + 90_000, 500);
    }

    assert_eq!(time.settle(TimeMs(9_000), 4_000), None);
    assert_eq!(time.unix_ms(TimeMs(9_000)), START_MS + 9_000);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Whatever subset of messages arrives in whatever order, a count never exceeds
    /// the truth, and equals it after the last message.
    #[test]
    fn merged_counts_never_exceed_the_truth(
        deliveries in proptest::collection::vec((0..3_usize, 0..20_usize), 0..80),
    ) {
        let mut holder = book("edge-9", 9);
        let mut sent: Vec<Vec<UsagePart>> = Vec::new();
        for run in 0..3 {
            let mut sender = book("edge-1", run);
            for _ in 0..20 {
                count(&mut sender, FIRST, "a", 1 + run);
                sent.push(sender.own_parts(FIRST, 40));
            }
        }
        let truth = 20 * (1 + 2 + 3);
        for (run, index) in deliveries {
            for part in &sent[run * 20 + index] {
                holder.merge_part(part, None);
            }
            prop_assert!(total(&holder, FIRST)[0].1 <= truth);
        }
        for run in 0..3 {
            for part in &sent[run * 20 + 19] {
                holder.merge_part(part, None);
            }
        }
        prop_assert_eq!(total(&holder, FIRST)[0].1, truth);
    }
}
