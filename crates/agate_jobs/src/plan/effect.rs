//! Records that the leader has to append.

use crate::record::{Body, Order, Record, SuspicionRecord};

/// A record that a decision appends to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A record for the main stream.
    Main(Record),
    /// A record for the order stream of a worker.
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
