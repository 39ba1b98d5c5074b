//! Applies the pace of new and recovered targets to the state of a gateway.

use std::time::Instant;

use super::context::ReservedTarget;
use super::serving::ServingTarget;
use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::request::forward::choose::TargetCandidate;
use crate::request::forward::context::TargetRequirements;
use crate::request::forward::plan::SendFailure;
use crate::request::pace::GossipedPace;
use crate::request::pace::ListedTarget;
use crate::request::pace::PaceChange;
use crate::request::pace::PaceEvent;
use crate::request::pace::PaceInstance;
use crate::request::pace::PaceView;
use crate::request::pace::PacedChoice;
use crate::request::pace::TargetKind;
use crate::request::pace::metrics::MOVED;
use crate::request::pace::metrics::YIELDED;

/// What this entry knows when it chooses a target for a request.
struct GatewayView<'a> {
    inner: &'a Inner,
    rate_per_s: f64,
    now: Instant,
}

impl PaceView for GatewayView<'_> {
    fn entries(&self) -> usize {
        self.inner.peers.entry_count()
    }

    fn now(&self) -> Instant {
        self.now
    }

    fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    fn in_flight_since(&self, candidate: &TargetCandidate, since: Instant) -> f64 {
        if self.inner.peers.has_all_loads(self.now) {
            // The sum of the loads that the entries put on the target, not of its reports.
            return candidate.in_flight;
        }
        let usage = self.inner.usage.get(&candidate.host);
        usage.map_or(0.0, |usage| usage.in_flight_since(since, self.now))
    }
}

impl Inner {
    /// Passes the serving targets on to the pace.
    pub(super) fn update_paces(&mut self, now: Instant) {
        if self.paces.is_enabled() {
            self.paces
                .on_listed(self.serving.iter().map(listed_target), now);
        }
    }

    /// Counts a request whose target was chosen.
    pub(super) fn on_request_at_pace(
        &mut self,
        requirements: &TargetRequirements,
        choice: PacedChoice,
        now: Instant,
    ) {
        if self.paces.is_enabled() {
            let weights = requirements.weights.as_ref();
            let service = &requirements.service;
            self.paces.on_request(service, weights, choice, now);
        }
    }

    /// Returns whether a request goes to the chosen candidate by its pace.
    pub(super) fn choose_at_pace(
        &self,
        candidates: &[TargetCandidate],
        chosen: usize,
        requirements: &TargetRequirements,
        now: Instant,
    ) -> PacedChoice {
        if !self.paces.is_enabled() {
            return PacedChoice::Kept;
        }
        let weights = requirements.weights.as_ref();
        let service = &requirements.service;
        let rate_per_s = self.paces.rate_per_s(service, weights, now);
        let view = GatewayView {
            inner: self,
            rate_per_s,
            now,
        };
        let fraction = rand::random_range(0.0..1.0);
        let draw = |count: usize| rand::random_range(0..count);
        let paces = &self.paces;
        paces.choose(candidates, chosen, requirements, &view, fraction, draw)
    }
}

fn log_change(change: &PaceChange) {
    let PaceChange {
        host,
        event,
        level,
        setbacks,
    } = change;
    match event {
        PaceEvent::Begun(reason) => log::info!(
            target:% = host, reason:% = reason, level = *level, setbacks = *setbacks;
            "pace of a target begins"
        ),
        PaceEvent::Fallen(setback) => log::info!(
            target:% = host, reason:% = setback, level = *level, setbacks = *setbacks;
            "pace of a target falls"
        ),
        PaceEvent::Ended(end, lasted) => log::info!(
            target:% = host, reason:% = end, level = *level, setbacks = *setbacks,
            lasted_ms = lasted.as_millis() as u64;
            "pace of a target ends"
        ),
    }
}

fn listed_target(target: &ServingTarget) -> ListedTarget {
    ListedTarget {
        host: target.host.clone(),
        instance: PaceInstance {
            incarnation: target.incarnation,
            group: target.group.clone(),
        },
        kind: TargetKind {
            service: target.service.clone(),
            weights: target.weights.clone(),
        },
        slots: target.slots,
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Returns the paces for the next datagram, after paces have ended whose time is over, and reports
    /// what has changed.
    pub(super) fn gossiped_paces(&self, inner: &mut Inner, now: Instant) -> Vec<GossipedPace> {
        if !inner.paces.is_enabled() {
            return Vec::new();
        }
        let gossip = inner.paces.gossip(now);
        for change in inner.paces.take_changes() {
            log_change(&change);
        }
        for (service, counts) in inner.paces.take_counts() {
            let metrics = &self.metrics;
            metrics.count_paced_choices(&service, MOVED, counts.moved);
            metrics.count_paced_choices(&service, YIELDED, counts.yielded);
        }
        let count = i64::try_from(inner.paces.paced_count()).unwrap_or(i64::MAX);
        self.metrics.paced_targets.set(count);
        gossip
    }
}

impl<C> ReservedTarget<C>
where
    C: Clock,
{
    fn instance(&self) -> PaceInstance {
        PaceInstance {
            incarnation: self.incarnation,
            group: self.group.clone(),
        }
    }

    /// Reports the first event of a stream, or a complete answer, to the pace.
    pub(super) fn report_first_event(&mut self) {
        let now = self.state.clock.now();
        self.first_event_at = Some(now);
        let mut inner = self.state.inner();
        if inner.paces.is_enabled() {
            let instance = self.instance();
            let expected = self.expected_wait;
            inner
                .paces
                .on_answer(&self.host, &instance, self.started_at, expected, now);
        }
    }

    /// Reports the end of a send to the pace, after it was reported to the usage of the target.
    pub(super) fn report_pace(&self, inner: &mut Inner, end: Option<SendFailure>, now: Instant) {
        if !inner.paces.is_enabled() {
            return;
        }
        let instance = self.instance();
        let usage = inner.usage.get(&self.host);
        let failure_share = usage.map_or(0.0, |usage| usage.failure_share(now));
        let sent_at = self.started_at;
        let paces = &mut inner.paces;
        paces.on_end(&self.host, &instance, end, failure_share, sent_at, now);
        if let Some(first_event_at) = self.first_event_at.filter(|_| end.is_none()) {
            let lasted = now.saturating_duration_since(first_event_at);
            paces.on_stream(&self.host, &instance, self.events, lasted, sent_at, now);
        }
    }
}
