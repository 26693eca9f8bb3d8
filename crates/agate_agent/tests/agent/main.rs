//! Tests of one agent with a stand-in backend server or worker and a fake entry.

mod drain;
mod entries;
mod keys;
mod leases;
mod observe;
mod process;
mod runs;
mod support;
mod urgent;
