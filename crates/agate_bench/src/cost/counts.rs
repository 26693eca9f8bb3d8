//! Reads the instruction counts saved by gungraun.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::{fs, io};

use displaydoc::Display;
use serde::Deserialize;

/// File that gungraun saves for each benchmark.
const SUMMARY_FILE: &str = "summary.json";

/// Error when reading instruction counts.
#[derive(Debug, Display)]
pub enum CountsError {
    /// cannot read {path:?}; run scripts/bench, which creates the counts: {error}
    Io {
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// {path:?} is not a gungraun 0.20 summary; install that version of the runner: {error}
    Format {
        /// Summary file.
        path: PathBuf,
        /// Error of the JSON parser.
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

/// Instruction counts of benchmarks by function and id.
#[derive(Debug, Clone, Default)]
pub struct InstructionCounts(BTreeMap<(String, String), u64>);

impl InstructionCounts {
    /// Reads every summary below `folder`.
    ///
    /// # Errors
    ///
    /// Fails if a folder or summary cannot be read or parsed.
    pub fn read_from(folder: &Path) -> Result<Self, CountsError> {
        let mut counts = Self::default();
        counts.read_folder(folder)?;
        Ok(counts)
    }

    /// Returns the instruction count of a benchmark.
    pub fn get(&self, function: &str, id: &str) -> Option<u64> {
        let name = (function.to_owned(), id.to_owned());
        self.0.get(&name).copied()
    }

    fn read_folder(&mut self, folder: &Path) -> Result<(), CountsError> {
        let io_error = |error| CountsError::Io {
            path: folder.to_owned(),
            error,
        };
        for entry in fs::read_dir(folder).map_err(io_error)? {
            let path = entry.map_err(io_error)?.path();
            if path.is_dir() {
                self.read_folder(&path)?;
            } else if path.file_name().is_some_and(|name| name == SUMMARY_FILE) {
                self.read_summary(path)?;
            }
        }
        Ok(())
    }

    fn read_summary(&mut self, path: PathBuf) -> Result<(), CountsError> {
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
