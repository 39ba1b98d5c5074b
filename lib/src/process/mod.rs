//! The state, tasks and state machines of the entry and gateway processes.

pub mod demand;
pub mod entry;
pub mod evacuation;
pub mod exchange;
pub mod feed_reader;
pub mod formation;
pub mod gateway;
pub mod identity;
pub mod in_force;
pub mod lease;
pub mod lifecycle;
pub mod limit_shares;
pub mod limits;
pub mod membership;
pub mod metrics;
pub mod peer;
pub mod placement;
pub mod platform_history;
pub mod presence;
pub mod service_targets;
pub mod services;
pub mod settings;
pub mod status;
pub mod substitution;
pub mod supervise;
pub mod unreadable_configuration;
