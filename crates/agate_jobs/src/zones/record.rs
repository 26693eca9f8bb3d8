//! Requests of the operator about a zone.

/// A record that withdraws or returns a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRecord {
    /// Position in the stream.
    pub offset: u64,
    /// Name of the zone.
    pub zone: String,
    /// Whether the record withdraws the zone; otherwise it returns it.
    pub withdrawn: bool,
}
