//! What lives for the process.

pub mod stragglers;
