//! What lives for the process.

pub mod exchange;
pub mod membership;
