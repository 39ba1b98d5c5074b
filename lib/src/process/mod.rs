//! What lives for the process.

pub mod limit_shares;
pub mod limits;
pub mod presence;
pub mod spill;
pub mod stragglers;
