//! Kinds of faults.

use rand::Rng;
use rand::rngs::StdRng;
use strum::{Display, EnumIter, IntoEnumIterator};

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An entry is killed and replaced.
    KillEntry,
    /// An agent of a backend server is killed and replaced.
    KillBackendAgent,
    /// An agent of a worker is killed and replaced.
    KillWorkerAgent,
    /// An entry is stopped with SIGSTOP, then continued.
    FreezeEntry,
    /// An agent of a backend server is stopped with SIGSTOP, then continued.
    FreezeBackendAgent,
    /// An agent of a worker is stopped with SIGSTOP for twice as long, so that leases can expire,
    /// then continued.
    FreezeWorkerAgent,
    /// Open connections to an agent go silent; new ones work.
    SilentAgent,
    /// Open connections to an entry go silent; new ones work.
    SilentEntry,
    /// An agent is unreachable for a while.
    CutAgent,
    /// The log is down for a while.
    LogOutage,
    /// The log is slow for a while.
    SlowLog,
    /// The log applies appends but loses half of the responses.
    LostAnswers,
    /// A backend server responds with the id of another request.
    WrongAnswers,
    /// A backend server truncates its responses.
    CutAnswers,
    /// A backend server closes connections instead of responding.
    ClosedConnections,
    /// A backend server is five times slower.
    SlowBackend,
    /// A worker fails every task that it starts.
    FailingWorker,
    /// An entry is shut down gracefully and replaced.
    StopEntry,
    /// An agent of a backend server is shut down gracefully and replaced.
    StopBackendAgent,
    /// An agent of a worker is shut down gracefully and replaced.
    StopWorkerAgent,
    /// The most recently accepted jobs are cancelled at once.
    CancelWave,
    /// A class is withdrawn, then resumed.
    WithdrawClass,
}

impl Fault {
    /// Returns an endless random sequence in which every fault occurs once before any repeats.
    pub fn sequence(mut draws: StdRng) -> impl Iterator<Item = Self> {
        let mut pool: Vec<Self> = Vec::new();
        std::iter::from_fn(move || {
            if pool.is_empty() {
                pool = Self::iter().collect();
            }
            Some(pool.swap_remove(draws.random_range(0..pool.len())))
        })
    }
}
