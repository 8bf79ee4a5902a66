//! Writes log lines without ever holding up who logs.
//!
//! Lines go through a bounded queue to a thread of their own. What does not
//! fit, or exceeds the rate, is dropped and counted; the count is told in a
//! line of its own as soon as there is room.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender},
        Arc, OnceLock,
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that wait for the writer at most: about a megabyte.
const QUEUE_LINES: usize = 2_048;

/// Lines written in a second at most; some three for each request of a busy
/// process.
const LINES_PER_S: u64 = 1_000;

/// Time for which lines are collected before they are written together, so
/// that a line costs no system call of its own.
const BATCH: Duration = Duration::from_millis(25);

/// Longest wait for the writer at the end of the process.
const FLUSH_MAX: Duration = Duration::from_millis(100);

static WRITER: OnceLock<LogWriter> = OnceLock::new();

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

/// Hands lines to the writing thread.
#[derive(Clone)]
pub(crate) struct LogWriter {
    queue: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start(out: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let writer = Self {
            queue,
            dropped: Arc::default(),
        };
        let dropped = writer.dropped.clone();
        thread::spawn(move || write_lines(&lines, &dropped, out));
        WRITER.get_or_init(|| writer.clone());
        writer
    }

    /// Queues a line, or drops it if there is no room.
    pub(crate) fn write(&self, line: String) {
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits until the lines logged so far are written, for a short time.
pub fn flush_log() {
    let Some(writer) = WRITER.get() else {
        return;
    };
    let (done, flushed) = sync_channel(1);
    if writer.queue.try_send(Message::Flush(done)).is_ok() {
        // Late lines are lost with the process.
        let _ = flushed.recv_timeout(FLUSH_MAX);
    }
}

fn write_lines(lines: &Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    let mut second_began = Instant::now();
    let mut lines_this_second = 0;
    while let Ok(first) = lines.recv() {
        let mut batch = String::new();
        let mut flushes = Vec::new();
        if matches!(first, Message::Line(_)) {
            thread::sleep(BATCH);
        }
        for message in std::iter::once(first).chain(lines.try_iter()) {
            if second_began.elapsed() >= Duration::from_secs(1) {
                second_began = Instant::now();
                lines_this_second = 0;
            }
            match message {
                Message::Line(line) if lines_this_second < LINES_PER_S => {
                    lines_this_second += 1;
                    batch.push_str(&line);
                }
                Message::Line(_) => {
                    dropped.fetch_add(1, Ordering::Relaxed);
                }
                Message::Flush(done) => flushes.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&format!(
                "{{\"level\":\"WARN\",\"target\":\"log\",\"message\":\"{lost} lines were dropped\"}}\n"
            ));
        }
        // Nobody is left to tell when the output is closed.
        let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}
