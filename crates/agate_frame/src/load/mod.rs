//! Open-loop load on a site, through the product and directly, so that the product's own added
//! latency stands alone.

mod arrivals;
mod figures;
mod measure;

pub use figures::{Figures, LoadReport};
pub use measure::{LoadError, LoadPlan, run};
