//! The demo: a tour of the product on a small site, with a count for each promise shown.

mod presets;
mod tour;

pub use presets::{ordinary_day, peak_day};
pub use tour::{DemoError, tour};
