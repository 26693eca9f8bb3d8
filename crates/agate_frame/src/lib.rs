//! Starts the real processes with the stand-ins on loopback, for the demo and the fault driver.
//!
//! Nothing of this is shipped: the product's own processes start no process.

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
