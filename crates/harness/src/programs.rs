//! Locates the executables that a cluster starts.

use std::path::{Path, PathBuf};

use crate::HarnessError;

/// Directory with the executables `limpetgw`, `standins` and `wire-standins`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    dir: PathBuf,
}

impl Programs {
    /// Uses the directory of the running executable, or its parent if the
    /// directory is `deps`: `target/<profile>` for tests in
    /// `target/<profile>/deps` and for programs in `target/<profile>`.
    ///
    /// # Errors
    ///
    /// Returns an error if the path of the running executable is unknown.
    pub fn from_current_exe() -> Result<Self, HarnessError> {
        let current = std::env::current_exe().map_err(HarnessError::io(
            "finding the path of the running executable",
        ))?;
        let mut dir = current.parent().unwrap_or(Path::new(".")).to_path_buf();
        if dir.ends_with("deps") {
            dir.pop();
        }
        Ok(Self { dir })
    }

    /// Uses a directory, such as `target/release`.
    pub fn in_dir(dir: impl Into<PathBuf>) -> Self {
        Self { dir: dir.into() }
    }

    /// Returns the path of `limpetgw`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist.
    pub fn limpetgw(&self) -> Result<PathBuf, HarnessError> {
        self.find("limpetgw")
    }

    /// Returns the path of `standins`, the simulated engine, platform and service.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist.
    pub fn standins(&self) -> Result<PathBuf, HarnessError> {
        self.find("standins")
    }

    /// Returns the path of `wire-standins`, a program that simulates the store
    /// or an upstream instance, using the wire protocol of the users' platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist.
    pub fn wire_standins(&self) -> Result<PathBuf, HarnessError> {
        self.find("wire-standins")
    }

    fn find(&self, name: &str) -> Result<PathBuf, HarnessError> {
        let path = self.dir.join(name);
        if path.is_file() {
            return Ok(path);
        }
        Err(HarnessError::MissingProgram {
            path: path.display().to_string(),
        })
    }
}
