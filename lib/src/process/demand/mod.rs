//! Measures the work that arrives for each model, and divides the hosts of a service accordingly.
//!
//! Each entry measures the work that arrives there ([`DemandMeter`]) and reports it to the entry that
//! forms groups, whose name is gossiped ([`DemandGossip`]). That entry sums the recent reports
//! ([`DemandCollector`]) and derives each model's share of the hosts ([`DemandControl`]). Group
//! formation uses the shares for what new hosts load and for which group is repaired first, and
//! ends an open group only if [`WorkNeeds`] say that the move pays for itself.

mod collector;
mod control;
mod decision;
mod message;
mod meter;
mod metrics;
mod needs;
mod state;
mod work;

pub use self::collector::DemandCollector;
pub use self::collector::DemandTotals;
pub use self::control::DemandControl;
pub use self::control::WorkShares;
pub use self::decision::DemandSample;
pub use self::decision::ShareChange;
pub use self::decision::ShareDecision;
pub use self::decision::ShareReason;
pub use self::message::DemandGossip;
pub use self::message::LeaseHolder;
pub use self::message::ModelDemand;
pub use self::meter::ArrivedWork;
pub use self::meter::DemandMeter;
pub use self::metrics::DemandMetrics;
pub use self::needs::ModelNeed;
pub use self::needs::WorkNeeds;
pub use self::state::DemandState;
pub use self::work::host_seconds;
