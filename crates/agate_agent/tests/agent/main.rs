//! One agent beside a stand-in, called by an entry that the tests play.

mod entries;
mod support;
mod urgent;
