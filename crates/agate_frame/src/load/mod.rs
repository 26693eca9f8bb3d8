//! Open-loop load on a site, sent through the product and directly, to isolate the latency that the
//! product adds.

mod arrivals;
mod measure;
mod report;

pub use measure::{LoadError, LoadPlan, run};
pub use report::{LoadReport, LoadStats};
