//! Failure injection: kill, freeze, terminate, restart and faults.

use trillium_client::Method;

use super::{Cluster, Kind};
use crate::{http::call_json, HarnessError};

impl Cluster {
    /// Kills a process without a graceful shutdown (SIGKILL).
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process can't be killed.
    pub fn kill(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.kill()
    }

    /// Suspends a process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process has ended.
    pub fn freeze(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("STOP")
    }

    /// Returns whether a process runs; a suspended process counts as running.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown.
    pub fn is_running(&mut self, name: &str) -> Result<bool, HarnessError> {
        Ok(self.process_mut(name)?.is_running())
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process has ended.
    pub fn thaw(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("CONT")
    }

    /// Requests a graceful shutdown (SIGTERM). [`crate::Process::wait_exit`]
    /// waits for the exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process has ended.
    pub fn terminate(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("TERM")
    }

    /// Restarts a process at the same addresses; a running process is killed
    /// first. Its faults are reset to those in its arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or the process does not start in
    /// time.
    pub async fn restart(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.restart().await
    }

    /// Restarts every engine and service that has ended; returns their names.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start in time.
    pub async fn restart_crashed(&mut self) -> Result<Vec<String>, HarnessError> {
        let mut restarted = Vec::new();
        for (name, member) in &mut self.members {
            let is_upstream = matches!(member.kind, Kind::Engine | Kind::Service);
            if is_upstream && !member.process.is_running() {
                member.process.restart().await?;
                restarted.push(name.clone());
            }
        }
        Ok(restarted)
    }

    /// Replaces the faults of a simulated component. `faults` is a JSON object;
    /// `{}` clears all faults.
    ///
    /// # Errors
    ///
    /// Returns an error if the name or a fault is unknown, or if the process does
    /// not respond.
    pub async fn set_faults(&self, name: &str, faults: &str) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/faults", self.process(name)?.addr());
        call_json(&self.http, Method::Post, &url, Some(faults.into())).await?;
        Ok(())
    }
}
