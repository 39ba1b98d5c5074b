//! The rate of requests to targets that are cold.
//!
//! A target that has just started, or has lost its caches, takes few requests a second from all entries
//! together, and may crash at a higher rate. Each entry reads from the records which targets are cold,
//! and has a part of the rate, as of the limits that targets name in their answers.

use std::time::Instant;

use super::state::Inner;
use crate::ids::HostId;
use crate::request::forward::protocol::StatedLimit;
use crate::request::pace::PaceReason;
use crate::units::RequestRate;

impl Inner {
    /// Updates the rates of cold targets and this entry's parts of them.
    pub(super) fn update_cold_limits(&mut self, now: Instant) {
        let Some(document) = &self.document else {
            return;
        };
        let mut rates: Vec<(HostId, Option<RequestRate>)> = Vec::new();
        for tracked in self.host_tracker.iter() {
            let record = &tracked.record;
            let service = document.service(&record.service);
            let cold_rate = service.and_then(|service| service.cold_rate);
            let rate = cold_rate.filter(|_| tracked.is_cold(now));
            if rate.is_some() || self.cold_limits.limit(&record.host).is_some() {
                rates.push((record.host.clone(), rate));
            }
        }
        for (host, rate) in rates {
            let limit = rate.map_or(StatedLimit::Unlimited, StatedLimit::Limited);
            self.cold_limits.on_answer(&host, limit, now, now);
        }
        for change in self.cold_limits.take_changes() {
            if change.limit.is_none() {
                self.paces.begin(&change.host, PaceReason::ColdEnded, now);
            }
            let rate = change.limit.map_or(0.0, |rate| rate.0);
            log::info!(
                target:% = change.host, is_cold = change.limit.is_some(), cold_rate_per_s = rate;
                "target is cold, or is no longer cold"
            );
        }
        let tracker = &self.host_tracker;
        self.cold_limits
            .expire(|host| tracker.get(host).is_some(), now);
        let members = self.peers.share_members(now);
        self.cold_limits.update_parts(members, now);
    }
}
