//! Retry budgets per caller and class.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{CallerName, ClassName, Moment};
use agate_preset::policy::Retries;

/// Maximum number of extra attempts saved up in a bucket.
const MAX_TOKENS: f64 = 10.0;

/// Extra attempts in a new bucket, so that a caller with few requests can retry once.
const INITIAL_TOKENS: f64 = 1.0;

/// Maximum number of buckets; all further callers and classes share one.
const MAX_BUCKETS: usize = 10_000;

/// Idle time after which a bucket may be dropped to make room for another.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    used_at: Moment,
}

/// Token buckets per caller and class, filled by first attempts.
#[derive(Debug)]
pub struct RetryBudgets {
    buckets: HashMap<CallerName, HashMap<ClassName, Bucket>>,
    count: usize,
    overflow: Bucket,
}

impl RetryBudgets {
    /// Creates an instance without buckets.
    pub fn new(now: Moment) -> Self {
        Self {
            buckets: HashMap::new(),
            count: 0,
            overflow: Bucket::new(now),
        }
    }

    /// Records a first attempt, which earns a fraction of an extra attempt.
    pub fn deposit(
        &mut self,
        policy: &Retries,
        caller: &CallerName,
        class: &ClassName,
        now: Moment,
    ) {
        let bucket = self.bucket_mut(caller, class, now);
        let earned = f64::from(policy.budget_percent) / 100.0;
        bucket.tokens = (bucket.tokens + earned).min(MAX_TOKENS);
    }

    /// Takes one extra attempt, or returns `None` if less than one is saved up.
    pub fn try_take(&mut self, caller: &CallerName, class: &ClassName, now: Moment) -> Option<()> {
        let bucket = self.bucket_mut(caller, class, now);
        if bucket.tokens < 1.0 {
            return None;
        }
        bucket.tokens -= 1.0;
        Some(())
    }

    /// Returns the number of buckets.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no buckets.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn bucket_mut(&mut self, caller: &CallerName, class: &ClassName, now: Moment) -> &mut Bucket {
        if self.is_new(caller, class) {
            if self.count >= MAX_BUCKETS {
                self.drop_idle(now);
            }
            if self.count >= MAX_BUCKETS {
                return &mut self.overflow;
            }
            let classes = self.buckets.entry(caller.clone()).or_default();
            classes.insert(class.clone(), Bucket::new(now));
            self.count += 1;
        }
        let known = self.buckets.get_mut(caller).and_then(|c| c.get_mut(class));
        let bucket = known.unwrap_or(&mut self.overflow);
        bucket.used_at = now;
        bucket
    }

    fn is_new(&self, caller: &CallerName, class: &ClassName) -> bool {
        let classes = self.buckets.get(caller);
        !classes.is_some_and(|classes| classes.contains_key(class))
    }

    fn drop_idle(&mut self, now: Moment) {
        self.buckets.retain(|_, classes| {
            classes.retain(|_, bucket| now.since(bucket.used_at) < IDLE_TIMEOUT);
            !classes.is_empty()
        });
        self.count = self.buckets.values().map(HashMap::len).sum();
    }
}

impl Bucket {
    const fn new(now: Moment) -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            used_at: now,
        }
    }
}
