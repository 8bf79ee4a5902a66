//! What a process uses of the machine, as `/proc` tells it.

use std::{fs, time::Duration};

use crate::{HarnessError, Process};

/// Clock ticks a second in `/proc`; a constant of Linux's interface.
const TICKS_PER_S: u64 = 100;
/// Place of the user time among the fields after the program's name.
const USER_TIME_FIELD: usize = 11;

impl Process {
    /// Processor time used since the start, of all threads, user and system.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn cpu_time(&self) -> Result<Duration, HarnessError> {
        let text = self.proc_file("stat")?;
        // The program's name may hold spaces; fields are counted after it.
        let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks: u64 = after_name
            .split_whitespace()
            .skip(USER_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_S))
    }

    /// Memory in use (resident set), in bytes.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn rss_bytes(&self) -> Result<u64, HarnessError> {
        let text = self.proc_file("status")?;
        let kib = text
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|number| number.parse::<u64>().ok());
        Ok(kib.unwrap_or(0) * 1024)
    }

    fn proc_file(&self, file: &str) -> Result<String, HarnessError> {
        let path = format!("/proc/{}/{file}", self.pid());
        fs::read_to_string(&path).map_err(HarnessError::io(path))
    }
}
