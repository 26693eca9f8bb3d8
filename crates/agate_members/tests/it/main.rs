//! Tests of the view.

mod draw;
mod pace;
mod support;
mod suspicion;
mod view;
