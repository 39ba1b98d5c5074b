//! How often entries exchange state, and with whom.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::membership::MembershipSettings;

/// How often entries exchange state, and with whom.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeSettings {
    /// Addresses at which to look for other entries, of any data centre.
    pub seeds: Vec<SocketAddr>,
    /// The time between two calls of a pair of entries in one data centre, and between rounds.
    pub near_interval: Duration,
    /// The time between two calls on a link to another data centre.
    pub far_interval: Duration,
    /// The entries of this data centre that keep a link to each other one.
    pub links_per_data_centre: usize,
    /// The number of frames to a peer of which one tells the whole version vector.
    pub frames_per_vector: u64,
    /// How long a peer may lack a version that this entry has before the version is passed on.
    pub forward_delay: Duration,
    /// The age at which a peer's report on a host no longer spares polling it.
    pub peer_report_age_limit: Duration,
    /// When silent members are suspected and removed.
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
