//! Whether a failed attempt is repeated, and whether a second one is sent while the first runs.
//!
//! Only requests whose class is repeatable are ever repeated. Each caller and class earns a share
//! of an extra attempt with every first attempt, so that an outage can't multiply the load.

mod budgets;
mod hedge;
mod rule;

pub use budgets::RetryBudgets;
pub use hedge::{HedgeDecision, Hedger};
pub use rule::{NoRetryReason, RetryContext, RetryDecision, decide};
