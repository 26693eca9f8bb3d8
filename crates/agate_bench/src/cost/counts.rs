//! Reads the instruction counts that gungraun has saved.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::{fs, io};

use displaydoc::Display;
use serde::Deserialize;

/// The file that gungraun saves for each benchmark.
const SUMMARY: &str = "summary.json";

/// Why instruction counts can't be read.
#[derive(Debug, Display)]
pub enum CountsError {
    /// cannot read {path:?}; run scripts/bench, which takes the counts first: {error}
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// {path:?} is not a summary of gungraun 0.20; install the runner of that version: {error}
    Format {
        /// The file.
        path: PathBuf,
        /// What does not fit.
        error: serde_json::Error,
    },
}

impl Error for CountsError {}

#[derive(Debug, Deserialize)]
struct Summary {
    function_name: String,
    id: String,
    profiles: Vec<Profile>,
}

#[derive(Debug, Deserialize)]
struct Profile {
    data: Data,
}

#[derive(Debug, Deserialize)]
struct Data {
    parts: Vec<Part>,
}

#[derive(Debug, Deserialize)]
struct Part {
    metrics: Metrics,
}

#[derive(Debug, Deserialize)]
struct Metrics {
    #[serde(rename = "Ir")]
    instructions: Metric,
}

#[derive(Debug, Deserialize)]
struct Metric {
    values: Values,
}

#[derive(Debug, Deserialize)]
struct Values {
    new: u64,
}

/// Instructions of each benchmark, by its function and id.
#[derive(Debug, Clone, Default)]
pub struct InstructionCounts(BTreeMap<(String, String), u64>);

impl InstructionCounts {
    /// Reads every summary below `folder`.
    ///
    /// # Errors
    ///
    /// Returns what can't be read, with its path.
    pub fn read_from(folder: &Path) -> Result<Self, CountsError> {
        let mut counts = Self::default();
        counts.walk(folder)?;
        Ok(counts)
    }

    /// Instructions of one benchmark.
    pub fn get(&self, function: &str, id: &str) -> Option<u64> {
        let name = (function.to_owned(), id.to_owned());
        self.0.get(&name).copied()
    }

    fn walk(&mut self, folder: &Path) -> Result<(), CountsError> {
        let failed = |error| CountsError::Io {
            path: folder.to_owned(),
            error,
        };
        for entry in fs::read_dir(folder).map_err(failed)? {
            let path = entry.map_err(failed)?.path();
            if path.is_dir() {
                self.walk(&path)?;
            } else if path.file_name().is_some_and(|name| name == SUMMARY) {
                self.read(path)?;
            }
        }
        Ok(())
    }

    fn read(&mut self, path: PathBuf) -> Result<(), CountsError> {
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(CountsError::Io { path, error }),
        };
        let summary: Summary = match serde_json::from_str(&text) {
            Ok(summary) => summary,
            Err(error) => return Err(CountsError::Format { path, error }),
        };
        let parts = summary.profiles.iter().flat_map(|p| &p.data.parts);
        let count = parts.map(|part| part.metrics.instructions.values.new).sum();
        self.0.insert((summary.function_name, summary.id), count);
        Ok(())
    }
}
