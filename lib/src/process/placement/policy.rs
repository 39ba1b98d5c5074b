//! The placement policy that follows from an environment's goal.

use std::time::Duration;

use crate::units::Share;
use crate::version::document::PlacementGoal;

/// How long a group may be broken before another is formed to replace it.
const REPLACEMENT_GROUP_DELAY: Duration = Duration::from_secs(60);
/// How long a service may have too many groups before one is dissolved.
const SURPLUS_DELAY: Duration = Duration::from_secs(300);
/// How long a domain stays paused after its outage was last seen.
const DOMAIN_SETTLE_TIME: Duration = Duration::from_secs(30);
/// How long requests in flight may delay an order that would end them.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// The largest share of a domain's hosts that may stay idle to keep spares, in per cent.
const IDLE_SHARE_LIMIT_PERCENT: u16 = 25;

/// The tunable choices of placement; [`PlacementPolicy::for_goal`] returns the defaults of a goal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementPolicy {
    /// The number of idle hosts that each domain keeps as spares for a service without a number of
    /// replicas in the document.
    pub spare_hosts_per_domain: usize,
    /// The largest share of a domain's hosts that may stay idle to keep spares.
    pub idle_share_limit: Share,
    /// Whether a host with the weights loaded is preferred to one that must load them.
    pub prefers_warm_hosts: bool,
    /// Whether repairs and new groups wait in a domain with an outage until it has settled.
    pub pauses_domains_in_outage: bool,
    /// Whether idle hosts load the weights of their service in advance.
    pub preloads_spares: bool,
    /// Whether idle hosts are reserved in a group's row, for a repair during a platform outage.
    pub reserves_spares: bool,
    /// Whether a broken group is dissolved if its hosts can make another broken group whole.
    pub merges_broken_groups: bool,
    /// How long a group may be broken before another is formed to replace it.
    pub replacement_group_delay: Duration,
    /// How long a service may have too many groups before one is dissolved.
    pub surplus_delay: Duration,
    /// How long a domain stays paused after its outage was last seen.
    pub domain_settle_time: Duration,
    /// How long requests in flight may delay an order that would end them.
    pub drain_limit: Duration,
}

impl PlacementPolicy {
    /// Returns the default policy of a goal. Goals differ in the spares that a domain keeps.
    pub fn for_goal(goal: PlacementGoal) -> Self {
        let spare_hosts_per_domain = match goal {
            PlacementGoal::LessDowntime => 1,
            PlacementGoal::FewerStranded => 0,
        };
        Self {
            spare_hosts_per_domain,
            idle_share_limit: Share::from_percent(IDLE_SHARE_LIMIT_PERCENT),
            prefers_warm_hosts: true,
            pauses_domains_in_outage: true,
            preloads_spares: true,
            reserves_spares: true,
            merges_broken_groups: true,
            replacement_group_delay: REPLACEMENT_GROUP_DELAY,
            surplus_delay: SURPLUS_DELAY,
            domain_settle_time: DOMAIN_SETTLE_TIME,
            drain_limit: DRAIN_LIMIT,
        }
    }
}
