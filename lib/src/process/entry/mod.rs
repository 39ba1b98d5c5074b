//! The entry daemon: connects the state machines with sockets, tasks, the platform and the clock.

mod configuration;
mod exchange;
mod operators;
mod peers;
mod placement;
mod poll;
mod relays;
mod request_context;
mod run;
mod state;
mod traffic;

pub use operators::LIVE_PATH;
pub use operators::METRICS_PATH;
pub use operators::READY_PATH;
pub use operators::STATUS_PATH;
pub use peers::EntryPeers;
pub use relays::RelayConnections;
pub use run::EntryError;
pub use run::ShutdownTokens;
pub use run::run_entry;
pub use state::EntryState;
pub use state::Platform;
