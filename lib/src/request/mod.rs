//! Request handling, from a caller's HTTP request to its answer.
//!
//! Dependencies point one way: state of the process is reached only through the traits
//! [`entry_context::EntryContext`] and [`forward::context::ForwardContext`].

pub mod admission;
pub mod admission_controller;
pub mod answer;
pub mod attempt;
pub mod buffered;
pub mod caller;
pub mod chat;
pub mod claim;
pub mod context;
pub mod dispatch;
pub mod entry_context;
pub mod fair_queue;
pub mod forward;
pub mod handler;
pub mod keyed;
pub mod outcome;
pub mod overload;
pub mod pace;
pub mod permit;
pub mod plain;
pub mod relay;
pub mod retry;
pub mod route;
pub mod router;
pub mod spill;
pub mod stragglers;
pub mod stream_recovery;
pub mod target_load;
pub mod token_bucket;
pub mod token_stream;
