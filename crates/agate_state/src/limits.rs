//! Bounds on what the state remembers.

/// Bounds on what the state remembers. They take part in the fold, so every process of a
/// deployment must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct StateLimits {
    /// Batches whose ids are remembered. A copy of a batch that arrives later counts again, so
    /// this must cover the time for which a writer repeats an append.
    #[builder(default = 32_768)]
    pub batches: usize,
    /// Ended jobs that can still be asked about.
    #[builder(default = 4_096)]
    pub ended_jobs: usize,
    /// Lost members that are remembered.
    #[builder(default = 65_536)]
    pub lost_members: usize,
    /// Names under which presets can be published.
    #[builder(default = 64)]
    pub presets: usize,
    /// Switches of presets that are remembered.
    #[builder(default = 64)]
    pub switches: usize,
    /// Withdrawals in force at once.
    #[builder(default = 1_024)]
    pub withdrawals: usize,
    /// Failed tasks of one job whose reasons are remembered.
    #[builder(default = 16)]
    pub failures: usize,
}

impl Default for StateLimits {
    fn default() -> Self {
        Self::builder().build()
    }
}
