//! Memory of metrics that nobody reads. A test program of its own, because it
//! measures the memory of its process.
#![allow(missing_docs)]

/// Values recorded, as by a million requests.
const VALUES: u32 = 1_000_000;
/// Values between two compactions; a gateway records fewer in its interval of 5 s.
const VALUES_PER_COMPACTION: u32 = 10_000;
/// Memory of a histogram that is compacted: its summary, and the values in between.
const GROWTH_MAX_KIB: u64 = 4 << 10;

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.expect("the status contains the resident size")
}

fn record(from: u32, until: u32) {
    for value in from..until {
        metrics::histogram!("test_seconds").record(f64::from(value % 977) / 1_000.0);
    }
}

/// Guards against memory that grows by about 20 bytes a request while nobody reads
/// `/metrics`.
#[test]
fn memory_of_unread_histograms_is_bounded() {
    telemetry::init_metrics();
    record(0, VALUES_PER_COMPACTION);
    telemetry::compact_metrics();
    let before_kib = resident_kib();

    for from in (0..VALUES).step_by(VALUES_PER_COMPACTION as usize) {
        record(from, from + VALUES_PER_COMPACTION);
        telemetry::compact_metrics();
    }
    let growth_kib = resident_kib().saturating_sub(before_kib);

    assert!(growth_kib <= GROWTH_MAX_KIB, "{growth_kib} KiB");
}
