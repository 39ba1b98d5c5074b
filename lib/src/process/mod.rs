//! What lives for the process.

pub mod lease;
pub mod presence;
pub mod stragglers;
