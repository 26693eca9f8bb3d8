//! Bounds on the size of the state.

/// Bounds on the size of the state. They affect the fold, so every process of a deployment must
/// use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct StateLimits {
    /// Number of batch ids kept for deduplication. A copy of an older batch is folded again, so
    /// this must cover the time for which a writer retries an append.
    #[builder(default = 32_768)]
    pub batches: usize,
    /// Number of ended jobs that can still be queried.
    #[builder(default = 4_096)]
    pub ended_jobs: usize,
    /// Number of cancellations of unknown jobs kept. A submission that follows an evicted one is accepted, so
    /// this must cover the time for which an append may be done late.
    #[builder(default = 16_384)]
    pub early_cancels: usize,
    /// Number of lost members kept.
    #[builder(default = 65_536)]
    pub lost_members: usize,
    /// Maximum number of published presets.
    #[builder(default = 64)]
    pub presets: usize,
    /// Number of preset switches kept.
    #[builder(default = 64)]
    pub switches: usize,
    /// Maximum number of withdrawals in force.
    #[builder(default = 1_024)]
    pub withdrawals: usize,
    /// Number of failed tasks per job whose reasons are kept.
    #[builder(default = 16)]
    pub failures: usize,
}

impl Default for StateLimits {
    fn default() -> Self {
        Self::builder().build()
    }
}
