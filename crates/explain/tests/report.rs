//! Tests of reports made from small logs.

use explain::{Collector, Report};

fn line(time_unix_ms: u64, number: u32, event: &str, request_id: &str) -> String {
    format!(
        r#"{{"time_unix_ms":{time_unix_ms},"level":"INFO","number":{number},"event":"{event}","fields":{{"request_id":"{request_id}","attempt":1}}}}"#
    )
}

fn report(logs: &[(&str, String)], request_id: &str) -> Report {
    let mut collector = Collector::new(request_id);
    for (name, text) in logs {
        collector.read_log(name, text);
    }
    collector.finish()
}

#[test]
fn events_of_several_logs_are_sorted_by_time() {
    let logs = [
        ("agent.log", line(12, 2001, "Queued", "r-1")),
        (
            "entry.log",
            format!(
                "{}\n{}",
                line(20, 1003, "RequestFinished", "r-1"),
                line(10, 1002, "UpstreamChosen", "r-1")
            ),
        ),
    ];

    let report = report(&logs, "r-1");

    let numbers: Vec<u32> = report.events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [1002, 2001, 1003]);
    assert_eq!(report.events[0].source, "entry.log:2");
}

#[test]
fn events_of_other_requests_are_excluded() {
    let logs = [("entry.log", line(1, 1002, "UpstreamChosen", "r-11"))];

    let report = report(&logs, "r-1");

    assert!(report.events.is_empty());
    assert_eq!(report.to_string(), "no event of request r-1\n");
}

#[test]
fn lines_that_are_not_events_are_counted() {
    let logs = [("entry.log", "thread panicked at r-1".to_string())];

    let report = report(&logs, "r-1");

    assert_eq!(report.lines_skipped, 1);
}
