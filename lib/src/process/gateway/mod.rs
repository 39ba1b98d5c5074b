//! An entry that passes callers' requests on by routes, and forms the replica groups behind them.
//!
//! It follows the configuration and the targets in the platform's tables, serves callers through
//! [`crate::request::forward`], and forms groups by [`crate::process::formation`] while it holds
//! the lease. All that it keeps is rebuilt from the platform after a restart.

mod change_log;
mod context;
mod coordinate;
mod follow;
mod listeners;
mod metrics;
mod peers;
mod places;
mod ready;
mod relay;
mod run;
mod serving;
mod settings;
mod state;
mod tell;
mod usage;

pub use self::change_log::ChangeLog;
pub use self::listeners::GatewayListeners;
pub use self::metrics::GatewayMetrics;
pub use self::peers::PeerMessage;
pub use self::peers::Peers;
pub use self::peers::ToldLoad;
pub use self::peers::ToldUse;
pub use self::run::GatewayError;
pub use self::run::run_gateway;
pub use self::serving::ServingTarget;
pub use self::serving::serving_targets;
pub use self::settings::GatewayListen;
pub use self::settings::GatewaySettings;
pub use self::settings::RetrySlack;
pub use self::state::GatewayPlatform;
pub use self::state::GatewayState;
pub use self::usage::TargetUsage;
pub use self::usage::UsageBoard;
