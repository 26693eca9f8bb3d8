//! The faults.

use rand::Rng;
use rand::rngs::StdRng;
use strum::{Display, EnumIter, IntoEnumIterator};

/// One kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An entry dies and another starts.
    KillEntry,
    /// An agent beside a backend server dies and another starts.
    KillBackendAgent,
    /// An agent beside a worker dies and another starts.
    KillWorkerAgent,
    /// An entry is frozen, then thawed.
    FreezeEntry,
    /// An agent beside a backend server is frozen, then thawed.
    FreezeBackendAgent,
    /// An agent beside a worker is frozen past its leases, then thawed.
    FreezeWorkerAgent,
    /// The connections to an agent go silent; new ones work.
    SilentAgent,
    /// The connections to an entry go silent; new ones work.
    SilentEntry,
    /// An agent can't be reached for a while.
    CutAgent,
    /// The log is down for a while.
    LogOutage,
    /// The log is slow for a while.
    SlowLog,
    /// Answers of the log are lost after they took effect.
    LostAnswers,
    /// A backend server answers with the id of another request.
    WrongAnswers,
    /// A backend server cuts its answers short.
    CutAnswers,
    /// A backend server closes connections in place of answers.
    ClosedConnections,
    /// A backend server is five times slower.
    SlowBackend,
    /// A worker fails everything that it starts.
    FailingWorker,
    /// An entry is stopped as planned and replaced.
    StopEntry,
    /// An agent beside a backend server is stopped as planned and replaced.
    StopBackendAgent,
    /// An agent beside a worker is stopped as planned and replaced.
    StopWorkerAgent,
    /// Every open job of one wave is cancelled at once.
    CancelWave,
    /// A class is withdrawn and resumed.
    WithdrawClass,
}

impl Fault {
    /// A sequence in which every fault comes up before one comes up again.
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
