//! Record of what was sent, answered and run, with times since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

use crate::fleet::Result;

/// Writes lines to `record.txt`. Clones share the file and the origin of time.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    origin: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            origin: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at_s = self.origin.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("unpoisoned");
        // The record informs the reader; the result does not depend on it.
        let _ = writeln!(file, "{at_s:8.3} s  {text}");
    }
}
