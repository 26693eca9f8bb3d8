//! The demo: runs the product on a small site and checks its guarantees.

mod presets;
mod steps;

pub use presets::{ordinary_day, peak_day};
pub use steps::{DemoError, run_demo};
