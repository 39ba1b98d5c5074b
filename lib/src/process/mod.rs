//! What lives for the process.

pub mod presence;
pub mod stragglers;
