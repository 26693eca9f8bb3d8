//! One agent beside a stand-in, called by an entry that the tests play.

mod drain;
mod entries;
mod keys;
mod leases;
mod observe;
mod process;
mod runs;
mod support;
mod urgent;
