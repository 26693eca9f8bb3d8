//! Open-loop load on a site, through the product and directly, so that the product's own added
//! latency stands alone.

mod arrivals;
mod measure;
mod report;

pub use measure::{LoadError, LoadPlan, run};
pub use report::{LoadReport, LoadStats};
