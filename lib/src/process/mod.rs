//! What lives for the process.

pub mod exchange;
pub mod membership;
pub mod presence;
pub mod stragglers;
