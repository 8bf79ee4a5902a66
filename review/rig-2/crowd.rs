//! Clients that connect all at once, begin a request and stop.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};

/// Threads of one process that connect at the same time.
const THREADS: usize = 8;

/// Holds `count` connections to a port for `hold_ms`.
pub fn hold(port: &str, count: &str, hold_ms: &str) -> i32 {
    let (Ok(port), Ok(count), Ok(hold_ms)) = (
        port.parse::<u16>(),
        count.parse::<usize>(),
        hold_ms.parse::<u64>(),
    ) else {
        return 2;
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    let start = Arc::new(Barrier::new(THREADS));
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let start = start.clone();
            thread::spawn(move || {
                start.wait();
                let mut held = Vec::new();
                for _ in 0..count / THREADS {
                    if let Ok(mut stream) =
                        TcpStream::connect_timeout(&addr, Duration::from_secs(2))
                    {
                        let _ = stream.write_all(b"POST /order/1 HTTP/1.1\r\nHost: ");
                        held.push(stream);
                    }
                }
                thread::sleep(Duration::from_millis(hold_ms));
                held.len()
            })
        })
        .collect();
    let held: usize = threads
        .into_iter()
        .map(|thread| thread.join().unwrap_or(0))
        .sum();
    println!("{held}");
    0
}
