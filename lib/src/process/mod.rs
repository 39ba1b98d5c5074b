//! What lives for the process.

pub mod entry;
pub mod identity;
pub mod in_force;
pub mod lifecycle;
pub mod metrics;
pub mod lease;
pub mod exchange;
pub mod membership;
pub mod presence;
pub mod services;
pub mod settings;
pub mod status;
pub mod limit_shares;
pub mod limits;
pub mod presence;
pub mod spill;
pub mod stragglers;
