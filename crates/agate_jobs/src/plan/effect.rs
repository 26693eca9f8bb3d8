//! What the scheduling entry has to record.

use crate::record::{Body, Order, Record, SuspicionRecord};

/// A record that a decision asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Into the main stream.
    Main(Record),
    /// Among the orders of the worker called `worker`.
    Order {
        /// Name of the worker.
        worker: String,
        /// The record.
        record: Record,
    },
}

impl Effect {
    pub(super) fn order(order: Order) -> Self {
        Self::Order {
            worker: order.incarnation.name.clone(),
            record: Record::new(Body::Order(order)),
        }
    }

    pub(super) fn suspicion(suspicion: SuspicionRecord) -> Self {
        Self::Order {
            worker: suspicion.incarnation.name.clone(),
            record: Record::new(Body::Suspicion(suspicion)),
        }
    }

    pub(super) fn drop_order(worker: &str, key: String) -> Self {
        Self::Order {
            worker: worker.to_owned(),
            record: Record::tombstone(key),
        }
    }
}
