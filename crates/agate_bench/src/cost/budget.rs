//! How many instructions a decision may take, derived from the budget of a node.
//!
//! At the large size a node has 1.8 % of a core. What it decides in a second at peak, times the
//! instructions of a decision, must stay within the share of that budget that is left to deciding;
//! the rest is for sockets, codecs and telemetry.

/// Instructions that a core executes in a second: 3 GHz at one instruction for each cycle.
const CORE_INSTRUCTIONS: u64 = 3_000_000_000;

/// Share of a core that a node has, in thousandths.
const NODE_PERMILLE: u64 = 18;

/// Instructions that a node may execute in a second.
pub const NODE_INSTRUCTIONS: u64 = CORE_INSTRUCTIONS * NODE_PERMILLE / 1_000;

/// Workers of the large size.
const WORKERS: u64 = 21_000;

/// Task starts in a second at the large size.
const STARTS: u64 = 20_000;

/// Members that one entry hears.
const MEMBERS: u64 = 1_000;

/// Starts of one entry in a second: each entry places on the workers that it hears, so 21,000 workers
/// have 21 entries, and these share the starts.
const ENTRY_STARTS: u64 = STARTS.div_ceil(WORKERS / MEMBERS);

/// One kind of decision on one kind of node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionBudget {
    /// Decisions in a second at peak.
    rate: u64,
    /// Share of the node's instructions that they may take, in percent.
    share_percent: u64,
}

impl DecisionBudget {
    /// Choices of an entry: 1,000 requests a second, an eighth of them tried twice, within a
    /// quarter of the budget.
    pub const CHOOSE: Self = Self::new(1_125, 25);

    /// Offers to an agent and ends at it: 8 slots that serve one request in 20 ms make 400 a
    /// second; at 3x overload 1,200 are offered. A quarter of the budget.
    pub const ADMIT: Self = Self::new(1_200, 25);

    /// Heartbeats at an entry: 1,000 members once a second, within a tenth of the budget.
    pub const HEARTBEAT: Self = Self::new(1_000, 10);

    /// Placements of an entry, within a quarter of the budget.
    pub const PLACE: Self = Self::new(ENTRY_STARTS, 25);

    /// Ends of runs at an entry, as many as starts, within a tenth of the budget.
    pub const END: Self = Self::new(ENTRY_STARTS, 10);

    /// Each kind of change to the queue of an entry, at most one for each start, within a twentieth.
    pub const QUEUE: Self = Self::new(ENTRY_STARTS, 5);

    /// Readings of urgent work at an entry: one a second from each member, within a tenth.
    pub const OBSERVE: Self = Self::new(MEMBERS, 10);

    /// Looks at all members for steps against batch work: one a second, within a twentieth.
    pub const STEPS: Self = Self::new(1, 5);

    /// `rate` decisions a second within `share_percent` of a node's budget.
    pub const fn new(rate: u64, share_percent: u64) -> Self {
        Self {
            rate,
            share_percent,
        }
    }

    /// The most instructions that one decision may take.
    pub const fn limit(self) -> u64 {
        NODE_INSTRUCTIONS * self.share_percent / 100 / self.rate
    }
}
