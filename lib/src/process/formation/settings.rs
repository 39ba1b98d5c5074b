//! The settings of group formation.

use std::time::Duration;

/// The bounds and waits of group formation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FormationSettings {
    /// The span over which the weight store's rate of loads is counted.
    pub load_window: Duration,
    /// How long a head that is cut off may keep serving before its group breaks by itself.
    pub stall_time: Duration,
    /// The time after which an unanswered order is sent again.
    pub order_retry: Duration,
    /// The wait after an order that the host refused because of its state.
    pub conflict_retry: Duration,
    /// How much longer than expected a group may take to form before it is given up.
    pub forming_slack: Duration,
    /// The time between two reports of a host that is in doubt.
    pub report_interval: Duration,
    /// The unanswered reports after which a host counts as lost.
    pub report_misses: u32,
    /// How much longer the time between two reports of a lost host outside of all groups is.
    pub lost_report_extra_interval: Duration,
}

impl Default for FormationSettings {
    fn default() -> Self {
        Self {
            // The span in which the users' weight store measures its rate.
            load_window: Duration::from_secs(5),
            // The users' bound after which a head without its members breaks.
            stall_time: Duration::from_secs(4),
            // Well above a round trip between data centres, well below a host's load time.
            order_retry: Duration::from_millis(300),
            // A head opens within some tens of milliseconds of its last member's readiness.
            conflict_retry: Duration::from_millis(60),
            // A load slows with the number of loads at once, so this is generous.
            forming_slack: Duration::from_secs(12),
            // Two misses find a lost host in about half a second.
            report_interval: Duration::from_millis(200),
            report_misses: 2,
            // A host is rarely back within a second; a dark domain's hosts are asked all at once.
            lost_report_extra_interval: Duration::from_millis(800),
        }
    }
}
