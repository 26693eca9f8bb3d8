//! The crashes under the runs of a task.

use std::time::Duration;

use super::evidence::Crash;

/// Time after which a run has surely survived its start. Later crashes don't count, and earlier ones
/// are forgotten.
const SURVIVAL_TIME: Duration = Duration::from_secs(3);

/// Number of prompt crashes, a decisive one among them, that attribute them to the task.
const MAX_PROMPT: usize = 2;

/// Number of crashes under a lone start that attribute them to the task, however late they were noticed,
/// unless a single machine that crashes by itself explains them.
const MAX_LONE: usize = 3;

/// Number of crashes that attribute them to the task in any case. One more start would be the third
/// after three crashes.
const MAX_CRASHES: usize = 5;

/// Whether crashes are attributed to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Attribution {
    /// The task has not been running during a crash, or not in a way that suggests that it caused it.
    Unsuspected,
    /// The task may have caused a crash.
    Suspected,
    /// The task crashes its workers.
    AtFault,
}

/// The crashes under the runs of a task, by run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashHistory(Vec<(u32, Crash)>);

impl CrashHistory {
    /// Records a crash under a run. A run counts once: its agent and the leader may both record its
    /// end.
    pub fn record(&mut self, run: u32, crash: &Crash) {
        if self.0.iter().any(|(known, _)| *known == run) {
            return;
        }
        if has_survived(crash.ran_ms) {
            self.0.clear();
        } else if self.0.len() < MAX_CRASHES {
            self.0.push((run, crash.clone()));
        }
    }

    /// Records that a run ended without a crash after `ran_ms` milliseconds.
    pub fn record_end(&mut self, ran_ms: u64) {
        if has_survived(ran_ms) {
            self.0.clear();
        }
    }

    /// Returns whether the crashes are attributed to the task.
    pub fn attribution(&self) -> Attribution {
        let crashes = self.0.len();
        if crashes == 0 {
            return Attribution::Unsuspected;
        }
        let prompt = self.0.iter().filter(|(_, crash)| crash.is_prompt());
        let is_decided = self.0.iter().any(|(_, crash)| crash.is_decisive());
        let is_proven = is_decided && prompt.count() >= MAX_PROMPT;
        if is_proven || self.is_repeated_alone() || crashes >= MAX_CRASHES {
            return Attribution::AtFault;
        }
        let is_recent = self.0.last().is_some_and(|(_, crash)| crash.is_recent());
        if is_recent || crashes > 1 {
            return Attribution::Suspected;
        }
        Attribution::Unsuspected
    }

    /// Returns the number of crashes that count.
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there has been no crash that counts.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a crash occurred at an address.
    pub fn has_address(&self, address: &str) -> bool {
        self.0.iter().any(|(_, crash)| crash.address == address)
    }

    /// Returns the longest time for which a run had run when its worker crashed.
    pub fn longest_run(&self) -> Duration {
        let longest = self.0.iter().map(|(_, crash)| crash.ran_ms).max();
        Duration::from_millis(longest.unwrap_or(0))
    }

    /// Returns the shortest time from the start of a run to a crash.
    pub fn shortest_delay(&self) -> Duration {
        let shortest = self.0.iter().map(|(_, crash)| crash.within_ms).min();
        Duration::from_millis(shortest.unwrap_or(0))
    }

    fn is_repeated_alone(&self) -> bool {
        let crashes = || self.0.iter().map(|(_, crash)| crash);
        let lone = || crashes().filter(|crash| crash.is_lone());
        let on_stable = lone().filter(|crash| !crash.unstable).count();
        let first = lone().next().map(|crash| &crash.address);
        let several_machines = lone().any(|crash| Some(&crash.address) != first);
        on_stable >= MAX_LONE || several_machines && lone().count() >= MAX_LONE
    }
}

fn has_survived(ran_ms: u64) -> bool {
    Duration::from_millis(ran_ms) > SURVIVAL_TIME
}
