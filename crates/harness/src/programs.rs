//! Where the programs are.

use std::path::{Path, PathBuf};

use crate::HarnessError;

/// The folder that holds `limpetgw` and `standins`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    dir: PathBuf,
}

impl Programs {
    /// The programs beside the running one: for a test in
    /// `target/<profile>/deps` and for a program in `target/<profile>` this
    /// is `target/<profile>`.
    ///
    /// # Errors
    ///
    /// When the path of the running program is not known.
    pub fn from_current_exe() -> Result<Self, HarnessError> {
        let current =
            std::env::current_exe().map_err(HarnessError::io("finding the running program"))?;
        let mut dir = current.parent().unwrap_or(Path::new(".")).to_path_buf();
        if dir.ends_with("deps") {
            dir.pop();
        }
        Ok(Self { dir })
    }

    /// The programs in a folder, such as `target/release`.
    pub fn in_dir(dir: impl Into<PathBuf>) -> Self {
        Self { dir: dir.into() }
    }

    /// The product's program.
    ///
    /// # Errors
    ///
    /// When it is not there.
    pub fn limpetgw(&self) -> Result<PathBuf, HarnessError> {
        self.find("limpetgw")
    }

    /// The stand-ins' program.
    ///
    /// # Errors
    ///
    /// When it is not there.
    pub fn standins(&self) -> Result<PathBuf, HarnessError> {
        self.find("standins")
    }

    /// The stand-ins on the users' platform's wire.
    ///
    /// # Errors
    ///
    /// When the program is not there.
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
