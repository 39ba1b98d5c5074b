//! Forwards callers' requests to targets and returns the targets' answers.
//!
//! The decisions do no I/O: [`choose`] selects a target, [`admit`] refuses requests that would
//! queue too long, [`plan`] decides on retries, [`answer_gate`] on the answers that callers get, and
//! [`events`] splits streams into events. [`handler`] applies them.

pub mod admit;
pub mod answer_gate;
pub mod buffered;
pub mod choose;
pub mod context;
pub mod events;
pub mod handler;
pub mod hop;
pub mod plan;
pub mod protocol;
pub mod sampling;
mod send;
mod sends;
mod stream;
