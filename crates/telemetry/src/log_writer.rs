//! Asynchronous log writer that never blocks the logging thread.
//!
//! A bounded queue passes lines to a background thread. Lines that exceed the
//! queue's capacity or the rate limit are dropped and counted; the count is
//! logged as a separate line with the next batch.

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

/// Capacity of the queue, about one megabyte of log lines.
const QUEUE_CAPACITY_LINES: usize = 2_048;

/// Maximum number of lines written per second. A busy process logs about three
/// lines per request.
const MAX_LINES_PER_S: u64 = 1_000;

/// Time for which lines are collected into one batch, which avoids a system
/// call per line.
const BATCH_DELAY: Duration = Duration::from_millis(25);

/// Maximum time that [`flush_log`] waits for the writer at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

static WRITER: OnceLock<LogWriter> = OnceLock::new();

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

/// Handle that queues lines for the writer thread.
#[derive(Clone)]
pub(crate) struct LogWriter {
    queue: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the writer thread for `out`. The first writer of the process is
    /// the one that [`flush_log`] waits for.
    pub(crate) fn start(out: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY_LINES);
        let writer = Self {
            queue,
            dropped: Arc::default(),
        };
        let dropped = writer.dropped.clone();
        thread::spawn(move || write_lines(&lines, &dropped, out));
        WRITER.get_or_init(|| writer.clone());
        writer
    }

    /// Queues a line; drops and counts it if the queue is full.
    pub(crate) fn write(&self, line: String) {
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits until all queued lines are written, for up to 100 ms. Does nothing if no
/// background writer was started.
pub fn flush_log() {
    let Some(writer) = WRITER.get() else {
        return;
    };
    let (done, flushed) = sync_channel(1);
    if writer.queue.try_send(Message::Flush(done)).is_ok() {
        // Lines not written before the timeout are lost when the process exits.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(lines: &Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    let mut window_start = Instant::now();
    let mut lines_in_window = 0;
    while let Ok(first) = lines.recv() {
        let mut batch = String::new();
        let mut flushes = Vec::new();
        if matches!(first, Message::Line(_)) {
            thread::sleep(BATCH_DELAY);
        }
        for message in std::iter::once(first).chain(lines.try_iter()) {
            if window_start.elapsed() >= Duration::from_secs(1) {
                window_start = Instant::now();
                lines_in_window = 0;
            }
            match message {
                Message::Line(line) if lines_in_window < MAX_LINES_PER_S => {
                    lines_in_window += 1;
                    batch.push_str(&line);
                }
                Message::Line(_) => {
                    dropped.fetch_add(1, Ordering::Relaxed);
                }
                Message::Flush(done) => flushes.push(done),
            }
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.push_str(&format!(
                "{{\"level\":\"WARN\",\"target\":\"log\",\"message\":\"{dropped_lines} log lines dropped: queue full or rate limit exceeded\"}}\n"
            ));
        }
        // A write error means that the output is closed; there is nowhere to
        // report it.
        let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}
