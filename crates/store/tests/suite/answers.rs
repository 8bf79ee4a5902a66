//! What an answer, a refusal and silence of the platform mean.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use rstest::rstest;
use serde_json::json;
use store::{
    Condition, HttpPlatform, InstanceSource, Key, Object, ObjectStore, RateLimits, StoreError,
};

/// What the platform does with its one connection.
#[derive(Clone, Debug)]
enum Platform {
    /// Answers with a status and a body.
    Answers(u16, &'static str),
    /// Reads the call and cuts the connection.
    CutsAfterCall,
    /// Answers with a body shorter than announced.
    CutsBody,
    /// Reads the call and never answers.
    Silent,
}

/// Starts a platform; its address, and the call that it has read.
fn start(behaviour: Platform) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("bound").to_string();
    let served = thread::spawn(move || {
        let (mut conn, _) = listener.accept().expect("a call");
        let mut bytes = vec![0; 64 << 10];
        let length = conn.read(&mut bytes).unwrap_or(0);
        let call = String::from_utf8_lossy(&bytes[..length]).into_owned();
        match behaviour {
            Platform::Answers(status, body) => {
                let length = body.len();
                let answer = format!(
                    "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
                );
                let _ = conn.write_all(answer.as_bytes());
            }
            Platform::CutsAfterCall => {}
            Platform::CutsBody => {
                let answer = "HTTP/1.1 200 X\r\ncontent-length: 900\r\n\r\n{\"version\":";
                let _ = conn.write_all(answer.as_bytes());
            }
            Platform::Silent => thread::sleep(Duration::from_secs(4)),
        }
        call
    });
    (addr, served)
}

fn key() -> Key {
    Key::new("config-head", "current")
}

fn put(addr: &str, condition: Condition) -> Result<u64, StoreError> {
    let platform = HttpPlatform::new(addr);
    smol::block_on(platform.put(&key(), &json!({"a": 1}), condition))
}

#[test]
fn a_write_carries_its_condition_and_returns_the_version() {
    let (addr, served) = start(Platform::Answers(200, r#"{"version":4}"#));

    let version = put(&addr, Condition::Version(3));

    assert_eq!(version, Ok(4));
    let call = served.join().expect("served").to_lowercase();
    assert!(
        call.starts_with("put /objects/config-head/current http/1.1"),
        "{call}"
    );
    assert!(call.contains("if-match: 3"), "{call}");
}

#[test]
fn a_first_write_asks_that_the_object_is_absent() {
    let (addr, served) = start(Platform::Answers(200, r#"{"version":1}"#));

    assert_eq!(put(&addr, Condition::Absent), Ok(1));

    let call = served.join().expect("served").to_lowercase();
    assert!(call.contains("if-none-match: *"), "{call}");
}

/// Whether a write that failed may have taken effect.
#[rstest]
#[case::conflict(Platform::Answers(412, r#"{"version":9}"#), "conflict")]
#[case::down(Platform::Answers(503, "{}"), "refused")]
#[case::over_the_rate(Platform::Answers(429, "{}"), "refused")]
#[case::not_understood(Platform::Answers(400, "{}"), "refused")]
#[case::too_large(Platform::Answers(413, "{}"), "too large")]
#[case::server_error(Platform::Answers(500, "{}"), "unsure")]
#[case::gateway_timeout(Platform::Answers(504, "{}"), "unsure")]
#[case::cut(Platform::CutsAfterCall, "unsure")]
#[case::cut_body(Platform::CutsBody, "unsure")]
#[case::silent(Platform::Silent, "unsure")]
#[case::unreadable(Platform::Answers(200, "hello"), "unsure")]
fn a_failed_write_tells_whether_it_may_have_taken_effect(
    #[case] behaviour: Platform,
    #[case] expected: &str,
) {
    let (addr, _served) = start(behaviour);

    let result = put(&addr, Condition::Absent);

    let kind = match result {
        Err(StoreError::Conflict) => "conflict",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::TooLarge { .. }) => "too large",
        Err(StoreError::OutcomeUnknown(_)) => "unsure",
        Ok(_) => "written",
    };
    assert_eq!(kind, expected);
}

#[test]
fn a_platform_that_does_not_listen_has_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("bound").to_string();
    drop(listener);

    let result = put(&addr, Condition::None);

    assert!(matches!(result, Err(StoreError::Refused(_))), "{result:?}");
}

#[test]
fn an_absent_object_reads_as_none_and_a_quiet_watch_too() {
    let (addr, _served) = start(Platform::Answers(404, "{}"));
    let platform = HttpPlatform::new(&addr);
    assert_eq!(smol::block_on(platform.get(&key())), Ok(None));

    let (addr, served) = start(Platform::Answers(204, ""));
    let platform = HttpPlatform::new(&addr);
    let timeout = Duration::from_millis(1500);
    let watched = smol::block_on(platform.watch(&key(), 7, timeout));
    assert_eq!(watched, Ok(None));
    let call = served.join().expect("served");
    assert!(
        call.contains("/watch/config-head/current?after=7&timeout_ms=1500"),
        "{call}"
    );
}

#[test]
fn objects_and_instances_are_read() {
    let (addr, _served) = start(Platform::Answers(200, r#"{"version":3,"value":{"a":1}}"#));
    let object = smol::block_on(HttpPlatform::new(&addr).get(&key()));
    let expected = Object {
        version: 3,
        value: json!({"a": 1}),
    };
    assert_eq!(object, Ok(Some(expected)));

    let list = r#"{"version":2,"instances":[{"instance":"a-1","role":"agent",
        "upstream":"carving","zone":"az-1","addr":"127.0.0.1:4000","state":"live"}]}"#;
    let (addr, _served) = start(Platform::Answers(200, list));
    let platform = HttpPlatform::new(&addr);
    let list = smol::block_on(platform.instances(None, Duration::ZERO));
    assert_eq!(
        list.map(|list| list.map_or(0, |list| list.instances.len())),
        Ok(1)
    );
}

/// No bytes of a name can leave its segment of the path.
#[test]
fn names_are_escaped() {
    let (addr, served) = start(Platform::Answers(404, "{}"));
    let platform = HttpPlatform::new(&addr);

    let _ = smol::block_on(platform.get(&Key::new("claim", "a/../b?c d")));

    let call = served.join().expect("served");
    assert!(
        call.starts_with("GET /objects/claim/a%2F..%2Fb%3Fc%20d "),
        "{call}"
    );
}

#[test]
fn calls_beyond_the_own_rate_are_refused_without_a_call() {
    let rates = RateLimits {
        reads_per_s: 0.1,
        writes_per_s: 0.1,
        burst: 1.0,
    };
    let (addr, _served) = start(Platform::Answers(200, r#"{"version":1}"#));
    let platform = HttpPlatform::with_rates(&addr, rates);
    let value = json!({});
    let write = || smol::block_on(platform.put(&key(), &value, Condition::None));

    let (first, second) = (write(), write());

    assert_eq!(first, Ok(1));
    assert!(matches!(second, Err(StoreError::Refused(_))), "{second:?}");
}
