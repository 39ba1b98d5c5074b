//! An entry that forwards callers' requests by the configured routes, and forms the replica groups
//! that serve them.
//!
//! It reads the configuration and the targets from the platform's tables, serves callers through
//! [`crate::request::forward`], and forms groups through [`crate::process::formation`] while it
//! holds the formation lease. All of its state is rebuilt from the platform after a restart.

mod backoff_state;
mod change_log;
mod cold_targets;
mod context;
mod coordinate;
mod crash_check;
mod crash_records;
mod departures;
mod follow;
mod gossip;
mod leaving;
mod limit_gossip;
mod limit_state;
mod link_check;
mod listeners;
mod listings;
mod metrics;
mod passed_on;
mod peer_handler;
mod peers;
mod probe_handlers;
mod quarantine;
mod quarantine_gossip;
mod record_relay;
mod record_state;
mod relayed_feed;
mod reservation;
mod run;
mod serving;
mod settings;
mod share_members;
mod state;
mod target_backoffs;
mod target_limits;
mod target_links;
mod usage;

pub use self::change_log::ChangeLog;
pub use self::crash_records::CrashRecord;
pub use self::crash_records::Suspect;
pub use self::departures::GossipedDeparture;
pub use self::leaving::GossipedLeaving;
pub use self::limit_gossip::GossipedLimit;
pub use self::listeners::GatewayListeners;
pub use self::metrics::GatewayMetrics;
pub use self::passed_on::PassedOn;
pub use self::passed_on::Reservation;
pub use self::peers::Forwarder;
pub use self::peers::GossipedLoad;
pub use self::peers::PeerMessage;
pub use self::peers::Peers;
pub use self::peers::Recipient;
pub use self::peers::SenderLoad;
pub use self::quarantine::Admission;
pub use self::quarantine::QUARANTINE_TIME;
pub use self::quarantine::Quarantine;
pub use self::quarantine::QuarantineChange;
pub use self::quarantine::ReleaseReason;
pub use self::quarantine_gossip::GossipedCrash;
pub use self::quarantine_gossip::GossipedQuarantine;
pub use self::quarantine_gossip::QuarantineGossip;
pub use self::run::GatewayError;
pub use self::run::run_gateway;
pub use self::serving::ServingTarget;
pub use self::serving::serving_targets;
pub use self::settings::GatewayListen;
pub use self::settings::GatewaySettings;
pub use self::settings::RetryLimits;
pub use self::share_members::Contact;
pub use self::share_members::ShareMembers;
pub use self::share_members::SharePlace;
pub use self::state::GatewayPlatform;
pub use self::state::GatewayState;
pub use self::target_backoffs::BackoffTrial;
pub use self::target_backoffs::TargetBackoffs;
pub use self::target_limits::LimitChange;
pub use self::target_limits::TargetLimits;
pub use self::target_limits::part_of_limit;
pub use self::target_links::LinksRestored;
pub use self::target_links::TargetLinks;
pub use self::usage::TargetUsage;
pub use self::usage::UsageTracker;
