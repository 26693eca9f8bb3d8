//! Test cases.

mod appending;
mod following;
mod http;
mod links;
mod recovery;
mod responses;
mod snapshots;
