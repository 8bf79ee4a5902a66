//! CPU time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

use crate::{HarnessError, Process};

/// Clock ticks per second in `/proc`, which Linux fixes for user space
/// (`USER_HZ`).
const TICKS_PER_S: u64 = 100;
/// Index of the user time (`utime`) in `/proc/<pid>/stat` among the fields after
/// the program name; the system time follows.
const USER_TIME_FIELD: usize = 11;

impl Process {
    /// Returns the CPU time used by all threads since the start, user and system
    /// time together.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn cpu_time(&self) -> Result<Duration, HarnessError> {
        let text = self.proc_file("stat")?;
        // The program name may contain spaces, so fields are counted after it.
        let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks: u64 = after_name
            .split_whitespace()
            .skip(USER_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_S))
    }

    /// Returns the resident set size in bytes; 0 if `/proc` does not report it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn rss_bytes(&self) -> Result<u64, HarnessError> {
        self.status_bytes("VmRSS:")
    }

    /// Returns the largest resident set size since the start, in bytes; 0 if `/proc`
    /// does not report it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn peak_rss_bytes(&self) -> Result<u64, HarnessError> {
        self.status_bytes("VmHWM:")
    }

    /// Returns the number of open file descriptors.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn open_descriptors(&self) -> Result<usize, HarnessError> {
        let path = format!("/proc/{}/fd", self.pid());
        let entries = fs::read_dir(&path).map_err(HarnessError::io(path))?;
        Ok(entries.count())
    }

    fn status_bytes(&self, field: &str) -> Result<u64, HarnessError> {
        let text = self.proc_file("status")?;
        let kib = text
            .lines()
            .find_map(|line| line.strip_prefix(field))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|number| number.parse::<u64>().ok());
        Ok(kib.unwrap_or(0) * 1024)
    }

    fn proc_file(&self, file: &str) -> Result<String, HarnessError> {
        let path = format!("/proc/{}/{file}", self.pid());
        fs::read_to_string(&path).map_err(HarnessError::io(path))
    }
}
