//! Tests of the membership view.

mod heartbeat_interval;
mod odd;
mod sample;
mod support;
mod suspicion;
mod view;
