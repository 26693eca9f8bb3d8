//! The demo: a tour of the product on a small site, with a count for each promise shown.

mod presets;
mod steps;

pub use presets::{ordinary_day, peak_day};
pub use steps::{DemoError, run_demo};
