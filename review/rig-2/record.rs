//! The record of a run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Record of what was sent, answered and run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    out: Arc<Mutex<BufWriter<File>>>,
    origin: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
        Self {
            out: Arc::new(Mutex::new(BufWriter::new(file))),
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut out = self.out.lock().expect("unpoisoned");
        let _ = writeln!(out, "{now_ms:>7} ms  {text}");
    }

    /// Writes a line that is also printed.
    pub fn note(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.out.lock().expect("unpoisoned").flush();
    }
}
