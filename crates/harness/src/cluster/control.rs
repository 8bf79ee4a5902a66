//! Makes the processes of a fleet fail, stop and come back.

use trillium_client::Method;

use super::{Cluster, Kind};
use crate::{http::call_json, HarnessError};

impl Cluster {
    /// Kills a process, as a crash would.
    ///
    /// # Errors
    ///
    /// When there is none of this name.
    pub fn kill(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.kill()
    }

    /// Stops a process in its tracks (SIGSTOP).
    ///
    /// # Errors
    ///
    /// When there is none of this name, or it has ended.
    pub fn freeze(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("STOP")
    }

    /// Lets a stopped process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// When there is none of this name, or it has ended.
    pub fn thaw(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("CONT")
    }

    /// Asks a process to shut down gracefully (SIGTERM). Wait for its end
    /// with [`crate::Process::wait_exit`].
    ///
    /// # Errors
    ///
    /// When there is none of this name, or it has ended.
    pub fn terminate(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("TERM")
    }

    /// Starts a process again at the same addresses, after killing it if it
    /// still runs. Its faults are those of its arguments again.
    ///
    /// # Errors
    ///
    /// When it does not come up in time.
    pub async fn restart(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.restart().await
    }

    /// Starts every engine and service that has crashed again; their names.
    ///
    /// # Errors
    ///
    /// When one does not come up in time.
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

    /// Replaces the faults of a stand-in; `faults` is JSON, `{}` clears them.
    ///
    /// # Errors
    ///
    /// When the stand-in does not know a fault, or does not answer.
    pub async fn set_faults(&self, name: &str, faults: &str) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/faults", self.process(name)?.addr());
        call_json(&self.http, Method::Post, &url, Some(faults.into())).await?;
        Ok(())
    }
}
