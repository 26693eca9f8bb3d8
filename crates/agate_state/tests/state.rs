//! What each record does to the state.

mod cases;
mod support;
