//! What lives for the process.

pub mod presence;
