//! Tests of the decisions about urgent requests.

mod admission;
mod budget;
mod choose;
mod decision;
mod freeze;
mod outlier;
mod race;
mod retry;
mod support;
