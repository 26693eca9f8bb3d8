//! Test cases.

mod appending;
mod following;
mod http;
mod recovery;
mod responses;
mod snapshots;
