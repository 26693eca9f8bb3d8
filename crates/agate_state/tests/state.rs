//! Tests of the effect of each record on the state.

mod cases;
mod support;
