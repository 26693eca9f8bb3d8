//! Tests of the client against an in-memory log on a paused clock and against the stand-in log over
//! HTTP.

mod cases;
mod support;
