//! The last lines that a process wrote.

use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Read},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Lines that are kept of one process.
const LINES_MAX: usize = 50_000;

/// A bounded buffer of lines; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogBuffer {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl LogBuffer {
    /// Reads lines from `source` on a thread of its own until it ends, and
    /// passes each to `on_line` first.
    pub(crate) fn follow(
        &self,
        source: impl Read + Send + 'static,
        mut on_line: impl FnMut(&str) + Send + 'static,
    ) {
        let buffer = self.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(source).lines() {
                let Ok(line) = line else { break };
                on_line(&line);
                buffer.push(line);
            }
        });
    }

    fn push(&self, line: String) {
        let mut lines = self.lock();
        if lines.len() == LINES_MAX {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// All kept lines.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lock().iter().cloned().collect()
    }

    /// The number of kept lines that contain `text`.
    pub(crate) fn count(&self, text: &str) -> usize {
        self.lock()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// The last `count` lines as one text.
    pub(crate) fn tail(&self, count: usize) -> String {
        let lines = self.lock();
        let from = lines.len().saturating_sub(count);
        let tail: Vec<&str> = lines.range(from..).map(String::as_str).collect();
        tail.join("\n")
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
