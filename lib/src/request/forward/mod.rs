//! Requests that are passed on to targets as they are, and their answers.
//!
//! The decisions are pure: [`choose`] says which target, [`plan`] what follows a failed send,
//! [`events`] which parts of a stream are whole. [`handler`] drives them.

pub mod admit;
mod buffered;
pub mod choose;
pub mod context;
pub mod events;
pub mod handler;
pub mod plan;
pub mod protocol;
pub mod sampling;
mod send;
mod stream;
