//! Extra attempts that each caller and class has earned.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{CallerName, ClassName, Moment};
use agate_preset::policy::Retries;

/// Extra attempts that can be saved up.
const MAX_SAVED: f64 = 10.0;

/// Extra attempts that a caller starts with, so that a rare request can be repeated once.
const INITIAL: f64 = 1.0;

/// Budgets kept at once; all further callers and classes share one.
const MAX_BUDGETS: usize = 10_000;

/// Idle time after which a budget is dropped if room is short.
const IDLE: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct Saved {
    attempts: f64,
    used: Moment,
}

/// One token bucket per caller and class, filled by first attempts.
#[derive(Debug)]
pub struct RetryBudgets {
    saved: HashMap<CallerName, HashMap<ClassName, Saved>>,
    count: usize,
    others: Saved,
}

impl RetryBudgets {
    /// Starts with nothing earned.
    pub fn new(now: Moment) -> Self {
        Self {
            saved: HashMap::new(),
            count: 0,
            others: Saved::new(now),
        }
    }

    /// Notes a first attempt, which earns a share of an extra one.
    pub fn deposit(
        &mut self,
        policy: &Retries,
        caller: &CallerName,
        class: &ClassName,
        now: Moment,
    ) {
        let saved = self.open(caller, class, now);
        let earned = f64::from(policy.budget_percent) / 100.0;
        saved.attempts = (saved.attempts + earned).min(MAX_SAVED);
    }

    /// Takes one extra attempt out, or returns `None` if less than one is saved.
    pub fn try_take(&mut self, caller: &CallerName, class: &ClassName, now: Moment) -> Option<()> {
        let saved = self.open(caller, class, now);
        if saved.attempts < 1.0 {
            return None;
        }
        saved.attempts -= 1.0;
        Some(())
    }

    /// Budgets kept.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether no budget is kept.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn open(&mut self, caller: &CallerName, class: &ClassName, now: Moment) -> &mut Saved {
        if self.is_new(caller, class) {
            if self.count >= MAX_BUDGETS {
                self.drop_idle(now);
            }
            if self.count >= MAX_BUDGETS {
                return &mut self.others;
            }
            let classes = self.saved.entry(caller.clone()).or_default();
            classes.insert(class.clone(), Saved::new(now));
            self.count += 1;
        }
        let known = self.saved.get_mut(caller).and_then(|c| c.get_mut(class));
        let saved = known.unwrap_or(&mut self.others);
        saved.used = now;
        saved
    }

    fn is_new(&self, caller: &CallerName, class: &ClassName) -> bool {
        let classes = self.saved.get(caller);
        !classes.is_some_and(|classes| classes.contains_key(class))
    }

    fn drop_idle(&mut self, now: Moment) {
        self.saved.retain(|_, classes| {
            classes.retain(|_, saved| now.since(saved.used) < IDLE);
            !classes.is_empty()
        });
        self.count = self.saved.values().map(HashMap::len).sum();
    }
}

impl Saved {
    const fn new(now: Moment) -> Self {
        Self {
            attempts: INITIAL,
            used: now,
        }
    }
}
