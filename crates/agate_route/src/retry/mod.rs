//! Decides whether a failed attempt is retried, and whether a hedge is sent while the first attempt
//! is still running.
//!
//! Only requests of repeatable classes are retried or hedged. Each first attempt earns its caller
//! and class a fraction of an extra attempt, so retries can't multiply the load during an outage.

mod budgets;
mod hedge;
mod rule;

pub use budgets::RetryBudgets;
pub use hedge::{HedgeDecision, Hedger};
pub use rule::{NoRetryReason, RetryContext, RetryDecision, decide};
