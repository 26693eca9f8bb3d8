//! Starts the real processes and the stand-ins on loopback, for the demo, the fault driver and load
//! runs.
//!
//! This crate is not shipped: the product's own processes never start other processes.

pub mod client;
pub mod demo;
pub mod faults;
pub mod load;
pub mod process;
pub mod records;
pub mod relay;
pub mod site;
pub mod table;
pub mod work;
