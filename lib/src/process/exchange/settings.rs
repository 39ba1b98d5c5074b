//! Settings of the state exchange.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::membership::MembershipSettings;

/// How often entries exchange state, and with which peers.
///
/// "Near" refers to entries of the same data centre, "far" to those of other data centres.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeSettings {
    /// Addresses of entries, of any data centre, that are called to find the other members.
    pub seeds: Vec<SocketAddr>,
    /// The time between two rounds, and between two calls of a pair of entries in one data centre.
    pub near_interval: Duration,
    /// The time between two calls on a link to another data centre.
    pub far_interval: Duration,
    /// For each of the other data centres, the number of entries of this one that keep a link to it.
    pub links_per_data_centre: usize,
    /// One in this many frames to a peer carries the version vector.
    pub frames_per_vector: u64,
    /// The least time for which this entry holds a version before it forwards it to a peer that
    /// lacks it. A member that sends no frame for longer than this counts as silent.
    pub forward_delay: Duration,
    /// The age of a peer's latest report on a host above which this entry polls the host itself.
    pub peer_report_age_limit: Duration,
    /// The times after which silent members are suspected and removed.
    pub membership: MembershipSettings,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            near_interval: Duration::from_secs(1),
            far_interval: Duration::from_secs(5),
            links_per_data_centre: 2,
            frames_per_vector: 16,
            forward_delay: Duration::from_millis(2500),
            peer_report_age_limit: Duration::from_millis(1600),
            membership: MembershipSettings::default(),
        }
    }
}
