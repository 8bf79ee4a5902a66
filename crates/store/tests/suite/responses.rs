//! Tests how responses, rejections and missing responses of the platform are
//! mapped to results.

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

/// Behavior of the fake platform on its only connection.
#[derive(Clone, Debug)]
enum Behavior {
    /// Responds with a status and a body.
    Responds(u16, &'static str),
    /// Responds with status 200 and a body that need not be text.
    RespondsBytes(&'static [u8]),
    /// Reads the request and closes the connection.
    ClosesAfterRequest,
    /// Sends a body that is shorter than its content length.
    TruncatesBody,
    /// Reads the request and does not respond within the timeout.
    NeverResponds,
}

/// Starts a fake platform. Returns its address and a handle to the request that
/// it reads.
fn start_platform(behavior: Behavior) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind loopback port");
    let addr = listener.local_addr().expect("local address").to_string();
    let server = thread::spawn(move || {
        let (mut conn, _) = listener.accept().expect("accept");
        let mut bytes = vec![0; 64 << 10];
        let length = conn.read(&mut bytes).unwrap_or(0);
        let request = String::from_utf8_lossy(&bytes[..length]).into_owned();
        match behavior {
            Behavior::Responds(status, body) => {
                let length = body.len();
                let response = format!(
                    "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
                );
                let _ = conn.write_all(response.as_bytes());
            }
            Behavior::RespondsBytes(body) => {
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 200 X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
                );
                let _ = conn.write_all(&[head.as_bytes(), body].concat());
            }
            Behavior::ClosesAfterRequest => {}
            Behavior::TruncatesBody => {
                let response = "HTTP/1.1 200 X\r\ncontent-length: 900\r\n\r\n{\"version\":";
                let _ = conn.write_all(response.as_bytes());
            }
            Behavior::NeverResponds => thread::sleep(Duration::from_secs(4)),
        }
        request
    });
    (addr, server)
}

fn key() -> Key {
    Key::new("config-head", "current")
}

fn put(addr: &str, condition: Condition) -> Result<u64, StoreError> {
    let platform = HttpPlatform::new(addr);
    smol::block_on(platform.put(&key(), &json!({"a": 1}), condition))
}

#[test]
fn put_sends_if_match_and_returns_version() {
    let (addr, server) = start_platform(Behavior::Responds(200, r#"{"version":4}"#));

    let version = put(&addr, Condition::Version(3));

    assert_eq!(version, Ok(4));
    let request = server
        .join()
        .expect("server thread panicked")
        .to_lowercase();
    assert!(
        request.starts_with("put /objects/config-head/current http/1.1"),
        "{request}"
    );
    assert!(request.contains("if-match: 3"), "{request}");
}

#[test]
fn put_if_absent_sends_if_none_match() {
    let (addr, server) = start_platform(Behavior::Responds(200, r#"{"version":1}"#));

    assert_eq!(put(&addr, Condition::Absent), Ok(1));

    let request = server
        .join()
        .expect("server thread panicked")
        .to_lowercase();
    assert!(request.contains("if-none-match: *"), "{request}");
}

/// A write may be repeated only if the error says that it had no effect.
#[rstest]
#[case::conflict(Behavior::Responds(412, r#"{"version":9}"#), "conflict")]
#[case::unavailable(Behavior::Responds(503, "{}"), "refused")]
#[case::rate_limited(Behavior::Responds(429, "{}"), "refused")]
#[case::bad_request(Behavior::Responds(400, "{}"), "refused")]
#[case::too_large(Behavior::Responds(413, "{}"), "too large")]
#[case::server_error(Behavior::Responds(500, "{}"), "unsure")]
#[case::gateway_timeout(Behavior::Responds(504, "{}"), "unsure")]
#[case::closed_after_request(Behavior::ClosesAfterRequest, "unsure")]
#[case::truncated_body(Behavior::TruncatesBody, "unsure")]
#[case::no_response(Behavior::NeverResponds, "unsure")]
#[case::invalid_json(Behavior::Responds(200, "hello"), "unsure")]
fn failed_put_reports_whether_it_may_have_taken_effect(
    #[case] behavior: Behavior,
    #[case] expected: &str,
) {
    let (addr, _server) = start_platform(behavior);

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
fn connection_refused_is_reported_as_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind loopback port");
    let addr = listener.local_addr().expect("local address").to_string();
    drop(listener);

    let result = put(&addr, Condition::None);

    assert!(matches!(result, Err(StoreError::Refused(_))), "{result:?}");
}

#[test]
fn missing_object_and_watch_timeout_return_none() {
    let (addr, _server) = start_platform(Behavior::Responds(404, "{}"));
    let platform = HttpPlatform::new(&addr);
    assert_eq!(smol::block_on(platform.get(&key())), Ok(None));

    let (addr, server) = start_platform(Behavior::Responds(204, ""));
    let platform = HttpPlatform::new(&addr);
    let timeout = Duration::from_millis(1500);
    let watched = smol::block_on(platform.watch(&key(), 7, timeout));
    assert_eq!(watched, Ok(None));
    let request = server.join().expect("server thread panicked");
    assert!(
        request.contains("/watch/config-head/current?after=7&timeout_ms=1500"),
        "{request}"
    );
}

#[test]
fn objects_and_instances_are_decoded() {
    let (addr, _server) =
        start_platform(Behavior::Responds(200, r#"{"version":3,"value":{"a":1}}"#));
    let object = smol::block_on(HttpPlatform::new(&addr).get(&key()));
    let expected = Object {
        version: 3,
        value: json!({"a": 1}),
    };
    assert_eq!(object, Ok(Some(expected)));

    let list = r#"{"version":2,"instances":[{"instance":"a-1","role":"agent",
        "upstream":"carving","zone":"az-1","addr":"127.0.0.1:4000","state":"live"}]}"#;
    let (addr, _server) = start_platform(Behavior::Responds(200, list));
    let platform = HttpPlatform::new(&addr);
    let list = smol::block_on(platform.instances(None, Duration::ZERO));
    assert_eq!(
        list.map(|list| list.map_or(0, |list| list.instances.len())),
        Ok(1)
    );
}

/// A name with special characters must stay within its path segment.
#[test]
fn key_names_are_percent_encoded() {
    let (addr, server) = start_platform(Behavior::Responds(404, "{}"));
    let platform = HttpPlatform::new(&addr);

    let _ = smol::block_on(platform.get(&Key::new("claim", "a/../b?c d")));

    let request = server.join().expect("server thread panicked");
    assert!(
        request.starts_with("GET /objects/claim/a%2F..%2Fb%3Fc%20d "),
        "{request}"
    );
}

#[test]
fn calls_over_rate_limit_are_refused_locally() {
    let rates = RateLimits {
        reads_per_s: 0.1,
        writes_per_s: 0.1,
        burst: 1.0,
    };
    let (addr, _server) = start_platform(Behavior::Responds(200, r#"{"version":1}"#));
    let platform = HttpPlatform::with_rates(&addr, rates);
    let value = json!({});
    let write = || smol::block_on(platform.put(&key(), &value, Condition::None));

    let (first, second) = (write(), write());

    assert_eq!(first, Ok(1));
    assert!(matches!(second, Err(StoreError::Refused(_))), "{second:?}");
}

/// Guards against a failure: one entry that could not be read, such as one of a role of a
/// later version, failed the whole list of instances.
#[rstest]
#[case::unknown_role(r#"{"instance":"x","role":"batch","zone":"z","addr":"a","state":"live"}"#)]
#[case::half_of_a_surrogate_pair(
    r#"{"instance":"\ud83d","role":"entry","zone":"z","addr":"a","state":"live"}"#
)]
#[case::number_beyond_a_float(r#"{"instance":"x","weight":1e999,"role":7}"#)]
#[case::another_type("[]")]
fn unreadable_instance_is_left_out_of_the_list(#[case] item: &str) {
    let readable =
        r#"{"instance":"entry-1","role":"entry","zone":"z","addr":"10.0.0.1:1","state":"live"}"#;
    let body = format!(r#"{{"version":4,"instances":[{item},{readable}]}}"#);
    let (addr, _server) = start_platform(Behavior::Responds(200, body.leak()));
    let platform = HttpPlatform::new(&addr);

    let list = smol::block_on(platform.instances(None, Duration::from_secs(1)));

    let list = list.expect("readable list").expect("a list");
    let ids: Vec<&str> = list
        .instances
        .iter()
        .map(|listed| listed.instance.as_str())
        .collect();
    assert_eq!((list.version, ids), (4, vec!["entry-1"]));
}

/// Bytes that are no text cost the entry that contains them.
#[test]
fn instance_with_bytes_that_are_not_text_is_left_out_of_the_list() {
    let (addr, _server) = start_platform(Behavior::RespondsBytes(
        b"{\"version\":4,\"instances\":[\
        {\"instance\":\"\xff\xfe\",\"role\":\"entry\",\"zone\":\"z\",\"addr\":\"a\",\"state\":\"live\"},\
        {\"instance\":\"entry-1\",\"role\":\"entry\",\"zone\":\"z\",\"addr\":\"a\",\"state\":\"live\"}]}",
    ));
    let platform = HttpPlatform::new(&addr);

    let list = smol::block_on(platform.instances(None, Duration::from_secs(1)));

    let list = list.expect("readable list").expect("a list");
    assert_eq!(list.instances.len(), 1);
    assert_eq!(list.instances[0].instance.as_str(), "entry-1");
}

/// Names are encoded as they are needed in a path.
#[test]
fn names_are_percent_encoded() {
    let encoded = store::path_segment("a&b c/\u{e9}~1").to_string();

    assert_eq!(encoded, "a%26b%20c%2F%C3%A9~1");
}
