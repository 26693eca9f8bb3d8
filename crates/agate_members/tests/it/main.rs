//! Tests of the membership view.

mod heartbeat_interval;
mod sample;
mod support;
mod suspicion;
mod view;
