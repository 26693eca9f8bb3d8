//! The client against the rules of the log, on a paused clock, and against the log over HTTP.

mod cases;
mod support;
