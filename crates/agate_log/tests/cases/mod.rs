//! The cases.

mod answers;
mod appending;
mod following;
mod http;
mod recovery;
mod snapshots;
