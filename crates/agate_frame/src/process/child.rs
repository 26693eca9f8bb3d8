//! A child process.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use displaydoc::Display;
use rustix::process::{Pid, kill_process};
use strum::Display as StrumDisplay;
use tokio::process::Command;
use tokio::time::timeout;

/// Signals that tests send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, StrumDisplay)]
#[strum(serialize_all = "kebab-case")]
pub enum Signal {
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Freeze,
    /// SIGCONT.
    Thaw,
    /// SIGTERM, which requests a graceful shutdown.
    Terminate,
}

impl Signal {
    fn raw(self) -> rustix::process::Signal {
        match self {
            Self::Kill => rustix::process::Signal::KILL,
            Self::Freeze => rustix::process::Signal::STOP,
            Self::Thaw => rustix::process::Signal::CONT,
            Self::Terminate => rustix::process::Signal::TERM,
        }
    }
}

/// process {name}: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct ChildError {
    /// Name of the process.
    pub name: String,
    /// Cause of the failure.
    pub cause: String,
}

impl std::error::Error for ChildError {}

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Child {
    name: String,
    inner: tokio::process::Child,
}

impl Child {
    /// Starts `binary` from the directory of the current executable, and appends its output to
    /// `NAME.log` in `logs`.
    ///
    /// # Errors
    ///
    /// Fails if the binary is missing or can't be started.
    pub fn start(
        name: &str,
        binary: &str,
        args: &[String],
        logs: &Path,
    ) -> Result<Self, ChildError> {
        let fail = |cause: String| ChildError {
            name: name.to_owned(),
            cause,
        };
        let path = sibling_path(binary).map_err(|error| fail(error.to_string()))?;
        let log =
            open_log(&logs.join(format!("{name}.log"))).map_err(|error| fail(error.to_string()))?;
        let output = log.try_clone().map_err(|error| fail(error.to_string()))?;
        let inner = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| {
                fail(format!(
                    "{}: {error}; build the workspace first",
                    path.display()
                ))
            })?;
        Ok(Self {
            name: name.to_owned(),
            inner,
        })
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a signal. Has no effect if the process has ended.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .inner
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have ended since its id was read.
            let _ = kill_process(pid, signal.raw());
        }
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails if it has not ended within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ChildError> {
        let fail = |cause: String| ChildError {
            name: self.name.clone(),
            cause,
        };
        match timeout(limit, self.inner.wait()).await {
            Ok(status) => status.map_err(|error| fail(error.to_string())),
            Err(_) => Err(fail(format!("still running after {} s", limit.as_secs()))),
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.inner.try_wait(), Ok(None))
    }
}

/// Returns the path of a binary in the directory of the current executable, or in its parent if
/// that is a test binary in `deps`.
fn sibling_path(binary: &str) -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.join(binary))
}

fn open_log(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
