//! What placement does under an environment's goal.

use std::time::Duration;

use crate::units::Share;
use crate::version::document::PlacementGoal;

/// How long a broken group is waited for before a group is formed elsewhere in its place.
const REPLACEMENT_GROUP_DELAY: Duration = Duration::from_secs(60);
/// How long a group beyond the wanted number goes on serving.
const SURPLUS_DELAY: Duration = Duration::from_secs(300);
/// How long a domain that was dark is left alone once hosts of it report again.
const DOMAIN_SETTLE_TIME: Duration = Duration::from_secs(30);
/// How long requests in flight may hold up an order that would end them.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// The most of a domain's hosts that a held-back spare may leave idle, in per cent.
const IDLE_SHARE_LIMIT_PERCENT: u16 = 25;

/// The choices of placement; [`PlacementPolicy::for_goal`] gives those of a goal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementPolicy {
    /// Spares that are held back in each domain when a service has no number of replicas.
    pub spare_hosts_per_domain: usize,
    /// The most of a domain's hosts that holding back may leave idle.
    pub idle_share_limit: Share,
    /// Whether a host that has the weights goes before one that must load them.
    pub prefers_warm_hosts: bool,
    /// Whether a domain that goes dark is left alone until it has settled.
    pub pauses_domains_in_outage: bool,
    /// Whether idle hosts load their service's weights ahead of need.
    pub preloads_spares: bool,
    /// Whether idle hosts are written into a group's row, for a repair without the platform.
    pub reserves_spares: bool,
    /// Whether a broken group gives its hosts to another one that they make whole.
    pub merges_broken_groups: bool,
    /// How long a broken group is waited for before one is formed elsewhere.
    pub replacement_group_delay: Duration,
    /// How long a group beyond the wanted number goes on serving.
    pub surplus_delay: Duration,
    /// How long a domain that was dark is left alone once hosts of it report again.
    pub domain_settle_time: Duration,
    /// How long requests in flight may hold up an order that would end them.
    pub drain_limit: Duration,
}

impl PlacementPolicy {
    /// Returns the choices for a goal.
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
