//! Rejections that are sent before the body of the request was read, on a
//! connection that the caller goes on using.

mod support;

use rstest::rstest;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use support::{chat_body, run, start_entry, FakeAgent, TestEntry, API_KEY};

/// Size of a long prompt, above the size of any request head and below the limit
/// for bodies.
const PROMPT_BYTES: usize = 60_000;

fn request(path: &str, key: &str, framing: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n\
         Content-Type: application/json\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

fn rejected(path: &str, key: &str, chunked: bool) -> Vec<u8> {
    let body = "x".repeat(PROMPT_BYTES);
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {PROMPT_BYTES}"),
    };
    let body = match chunked {
        true => format!("{PROMPT_BYTES:x}\r\n{body}\r\n0\r\n\r\n"),
        false => body,
    };
    [request(path, key, &framing), body.into_bytes()].concat()
}

/// Reads one response with a `content-length` and returns its status, 0 if the
/// connection ends before it.
async fn read_status(stream: &mut TcpStream) -> u16 {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte).await {
            Ok(1) => bytes.push(byte[0]),
            _ => return 0,
        }
    }
    let head = String::from_utf8(bytes).unwrap().to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).unwrap();
    let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
    stream.read_exact(&mut vec![0; length]).await.unwrap();
    head.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Guards against the rest of a rejected body being taken for the head of the next
/// request, which then got 431 or 408 (case 4 of the users' review, at the
/// gateway).
#[rstest]
#[case::unknown_key("/v1/chat/completions", "wrong", 401)]
#[case::unknown_path("/v2/chat", API_KEY, 404)]
#[case::unknown_service("/services/nothing/here", API_KEY, 404)]
fn request_after_rejected_prompt_gets_its_own_response(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
    #[values(true, false)] chunked: bool,
) {
    run(async {
        let agent = FakeAgent::start("a-1", vec![]).await;
        let entry: TestEntry = start_entry(vec![agent.instance("carving")]).await;
        let body = chat_body("m", false);
        let framing = format!("Content-Length: {}", body.len());
        let chat = request("/v1/chat/completions", API_KEY, &framing);
        let mut stream = TcpStream::connect(entry.running.addr).await.unwrap();

        stream
            .write_all(&rejected(path, key, chunked))
            .await
            .unwrap();
        let first = read_status(&mut stream).await;
        stream
            .write_all(&[chat, body.into_bytes()].concat())
            .await
            .unwrap();
        let second = read_status(&mut stream).await;

        assert_eq!((first, second), (status, 200));
    });
}

/// Guards against the review's case 1 at the entry: a request that is quoted in a
/// body that was not read must not run.
#[test]
fn request_quoted_in_unread_body_is_not_run() {
    run(async {
        let agent = FakeAgent::start("a-1", vec![]).await;
        let entry: TestEntry = start_entry(vec![agent.instance("carving")]).await;
        let body = chat_body("m", false);
        let framing = format!("Content-Length: {}", body.len());
        let quoted = [
            request("/v1/chat/completions", API_KEY, &framing),
            body.into_bytes(),
        ]
        .concat();
        let framing = format!("Content-Length: {}\r\nExpect: 100-continue", quoted.len());
        let rejected = request("/v1/chat/completions", "wrong", &framing);
        let mut stream = TcpStream::connect(entry.running.addr).await.unwrap();

        stream
            .write_all(&[rejected, quoted].concat())
            .await
            .unwrap();
        let first = read_status(&mut stream).await;
        let second = read_status(&mut stream).await;

        assert_eq!((first, second), (401, 0));
        assert!(agent.dispatches().is_empty());
    });
}
