//! Settings of group formation.

use std::time::Duration;

/// Timeouts, intervals and limits of group formation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FormationSettings {
    /// The window over which loads from the weight store are counted against its rate limit.
    pub load_window: Duration,
    /// How long a leader that is cut off from its members may keep serving before its group breaks.
    pub stall_time: Duration,
    /// The time after which an accepted order is sent again if it has not taken effect.
    pub order_retry: Duration,
    /// The time after which a rejected order is sent again.
    pub conflict_retry: Duration,
    /// How much longer than expected a group may take to form before it is abandoned.
    pub forming_slack: Duration,
    /// The minimum time between two reports requested of a host in doubt.
    pub report_interval: Duration,
    /// The number of reports without a connection after which a host counts as lost. Twice as many
    /// without an answer count as much.
    pub report_misses: u32,
    /// Added to `report_interval` for a lost host that is in no group.
    pub lost_report_extra_interval: Duration,
    /// Whether a host has to confirm that it is in no other group before it is ordered to join one.
    /// Only tests that show what the check prevents turn it off.
    pub checks_before_join: bool,
    /// Whether orders name the number of orders that the host must have accepted. Only tests that show
    /// what that prevents turn it off.
    pub expects_order_counts: bool,
}

impl Default for FormationSettings {
    fn default() -> Self {
        Self {
            // The weight store measures its rate over this window.
            load_window: Duration::from_secs(5),
            // A leader without its members breaks after this time.
            stall_time: Duration::from_secs(4),
            // Well above a round trip between data centres, well below a host's load time.
            order_retry: Duration::from_millis(300),
            // A leader opens within some tens of milliseconds after its last member is ready.
            conflict_retry: Duration::from_millis(60),
            // Generous, since each load gets slower the more loads run at the same time.
            forming_slack: Duration::from_secs(12),
            // With two misses, a lost host is detected in about half a second.
            report_interval: Duration::from_millis(200),
            report_misses: 2,
            // A host is rarely back within a second. After an outage of a fabric domain, all of its
            // hosts are polled at the same time.
            lost_report_extra_interval: Duration::from_millis(800),
            checks_before_join: true,
            expects_order_counts: true,
        }
    }
}
