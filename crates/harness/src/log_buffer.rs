//! Buffer of the last output lines of a process.

use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Read},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Maximum number of stored lines per process; the oldest are dropped.
const LINES_MAX: usize = 50_000;

/// Bounded buffer of lines; clones share the same buffer.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogBuffer {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl LogBuffer {
    /// Spawns a thread that reads lines from `source` to its end, passes each to
    /// `on_line` and then stores it.
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

    /// Returns all stored lines, the oldest first.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lock().iter().cloned().collect()
    }

    /// Returns the number of stored lines that contain `text`.
    pub(crate) fn count(&self, text: &str) -> usize {
        self.lock()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Returns the last `count` lines, joined by line feeds.
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
