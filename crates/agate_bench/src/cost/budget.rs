//! Instruction limits of the decisions, derived from the processor budget of a node.
//!
//! At large scale a node has 1.8 % of a core. The peak rate of a kind of decision times its
//! instructions must stay within that decision's share of the budget; the rest is for sockets,
//! codecs and telemetry.

/// Instructions per second of a core: 3 GHz at one instruction per cycle.
const CORE_INSTRUCTIONS: u64 = 3_000_000_000;

/// Share of a core available to a node, in thousandths.
const NODE_PERMILLE: u64 = 18;

/// Instructions per second available to a node.
pub const NODE_INSTRUCTIONS: u64 = CORE_INSTRUCTIONS * NODE_PERMILLE / 1_000;

/// Workers at large scale.
const WORKERS: u64 = 21_000;

/// Task starts per second at large scale.
const STARTS: u64 = 20_000;

/// Members that send heartbeats to one entry.
const MEMBERS_PER_ENTRY: u64 = 1_000;

/// Task starts per second of one entry. Each entry places tasks on the 1,000 workers that it hears
/// from, so 21 entries share the starts.
const STARTS_PER_ENTRY: u64 = STARTS.div_ceil(WORKERS / MEMBERS_PER_ENTRY);

/// Rate of one kind of decision, and its share of the node's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionBudget {
    /// Peak decisions per second.
    rate: u64,
    /// Share of the node's instructions, in percent.
    share_percent: u64,
}

impl DecisionBudget {
    /// Choices of a member at an entry: 1,000 requests per second, an eighth of them retried once,
    /// within 25 % of the budget.
    pub const CHOOSE: Self = Self::new(1_125, 25);

    /// Admissions and completions at an agent, within 25 % of the budget: 8 slots at 20 ms per
    /// request serve 400 per second, so 1,200 are offered at 3x overload.
    pub const ADMIT: Self = Self::new(1_200, 25);

    /// Heartbeats at an entry: one per second from each of 1,000 members, within 10 %.
    pub const HEARTBEAT: Self = Self::new(1_000, 10);

    /// Placements of an entry, within 25 %.
    pub const PLACE: Self = Self::new(STARTS_PER_ENTRY, 25);

    /// Ends of runs at an entry, as many as starts, within 10 %.
    pub const END: Self = Self::new(STARTS_PER_ENTRY, 10);

    /// Each kind of change to the queue of an entry: at most one per start, within 5 %.
    pub const QUEUE: Self = Self::new(STARTS_PER_ENTRY, 5);

    /// Samples of urgent work at an entry: one per second from each member, within 10 %.
    pub const OBSERVE: Self = Self::new(MEMBERS_PER_ENTRY, 10);

    /// Passes over all members that look for steps against batch work: one per second, within 5 %.
    pub const STEPS: Self = Self::new(1, 5);

    /// Returns a budget of `share_percent` of a node for `rate` decisions per second.
    pub const fn new(rate: u64, share_percent: u64) -> Self {
        Self {
            rate,
            share_percent,
        }
    }

    /// Returns the largest number of instructions of one decision.
    pub const fn limit(self) -> u64 {
        NODE_INSTRUCTIONS * self.share_percent / 100 / self.rate
    }
}
