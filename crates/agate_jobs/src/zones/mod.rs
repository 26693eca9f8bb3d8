//! Withdrawal of availability zones: what is known of it, and whether a start may be sent.

mod gate;
mod record;
mod table;

pub use gate::{StartCheck, ZoneGate};
pub use record::ZoneRecord;
pub use table::{ZoneState, ZoneTable};
