//! Positions in the history of a store that may be restored from an older copy.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use futures_lite::future::zip;
use proptest::prelude::*;
use store::{CallKind, Era, Position, RateLimits, StoreClient};
use trillium_http::Method;

fn position(era: u32, revision: u64) -> Position {
    Position {
        era: Era::new(era),
        revision,
    }
}

proptest! {
    /// Positions order by era first, and so do the numbers that stand for them, which
    /// serve as fencing tokens.
    #[test]
    fn sequences_order_as_positions_do(
        one in (0..9_000_u32, 0..1_u64 << 40),
        other in (0..9_000_u32, 0..1_u64 << 40),
    ) {
        let (one, other) = (position(one.0, one.1), position(other.0, other.1));

        prop_assert_eq!(one.cmp(&other), one.sequence().cmp(&other.sequence()));
    }

    /// Any revision of a later era follows all of an earlier one, also beyond the range
    /// that a sequence can hold.
    #[test]
    fn later_era_follows_any_revision(
        era in 0..1_000_u32,
        before in any::<u64>(),
        after in any::<u64>(),
    ) {
        let (before, after) = (position(era, before), position(era + 1, after));

        prop_assert!(before < after);
        prop_assert!(before.sequence() < after.sequence());
    }
}

#[test]
fn sequence_is_the_revision_for_a_store_without_eras() {
    assert_eq!(position(0, 488).sequence(), 488);
}

/// Reads the head of a call.
fn read_call(conn: &mut TcpStream) {
    let mut bytes = [0; 4_096];
    assert!(conn.read(&mut bytes).expect("a call") > 0);
}

/// Responds with an empty list of an era, and ends the connection.
fn respond(mut conn: TcpStream, era: u32) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nstore-era: {era}\r\ncontent-length: 2\r\nconnection: close\r\n\r\n"
    );
    conn.write_all(format!("{head}[]").as_bytes())
        .expect("response is sent");
}

async fn list_era(client: &StoreClient) -> u32 {
    let conn = client.request(Method::Get, "/objects/any");
    let response = client.call(CallKind::List, conn, Duration::from_secs(5));
    response.await.expect("a response").era.number()
}

/// Guards against a list of the history before that counts as one of the present
/// history, because another call had noticed the restoration while it was on its way: a
/// watch from its position misses what is written again below it. A call that is made
/// afterwards can't get one, so that what it names is invalid.
#[test]
fn response_that_was_on_its_way_at_the_restoration_belongs_to_the_era_before() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind loopback port");
    let addr = listener.local_addr().expect("local address").to_string();
    let server = thread::spawn(move || {
        let accept = || {
            let (mut conn, _) = listener.accept().expect("accept");
            read_call(&mut conn);
            conn
        };
        respond(accept(), 1);
        let (early, late) = (accept(), accept());
        respond(late, 2);
        thread::sleep(Duration::from_millis(200));
        respond(early, 1);
        respond(accept(), 1);
    });
    let client = StoreClient::new(&addr, RateLimits::default()).with_era_header("store-era");

    let first = smol::block_on(list_era(&client));
    let (one, other) = smol::block_on(zip(list_era(&client), list_era(&client)));
    let last = smol::block_on(list_era(&client));

    server.join().expect("server thread panicked");
    let both = (one.min(other), one.max(other));
    assert_eq!((first, both, last), (1, (1, 2), 2));
    assert_eq!(client.era().number(), 2);
}
