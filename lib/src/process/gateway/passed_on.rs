//! A request that is passed on to another entry, and the choice between that and a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::context::ReservedTarget;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::EntryId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::request::forward::context::ChoiceInfo;
use crate::request::forward::context::TargetReservation;
use crate::request::forward::plan::SendFailure;
use crate::request::forward::protocol::AnswerLoad;
use crate::request::forward::protocol::StatedLimit;
use crate::request::overload::urgency::Urgency;

/// The expected time to the first answer by way of another entry, whose queues are not known here.
const EXPECTED_WAIT: Duration = Duration::from_millis(200);

/// A request in flight at another entry, which takes the place of a target.
#[derive(Debug)]
pub struct PassedOn<C>
where
    C: Clock,
{
    state: Arc<GatewayState<C>>,
    entry: EntryId,
    /// The name of the entry, as that of a target.
    host: HostId,
    address: SocketAddr,
    service: ServiceId,
    /// When data last arrived, or the request was sent.
    progress_at: Instant,
    is_silent: bool,
    has_ended: bool,
}

impl<C> PassedOn<C>
where
    C: Clock,
{
    /// Returns a request that goes to `entry`; `None` if its name is not one of a host.
    pub(super) fn new(
        state: &Arc<GatewayState<C>>,
        (entry, address): (EntryId, SocketAddr),
        service: ServiceId,
    ) -> Option<Self> {
        Some(Self {
            state: Arc::clone(state),
            host: entry.as_str().parse().ok()?,
            entry,
            address,
            service,
            progress_at: state.clock.now(),
            is_silent: false,
            has_ended: false,
        })
    }

    fn time_since_data(&self) -> Duration {
        let now = self.state.clock.now();
        now.saturating_duration_since(self.progress_at)
    }

    fn avoid_entry(&self) {
        let now = self.state.clock.now();
        self.state
            .with_peers(|peers| peers.on_forward_failed(&self.entry, now));
    }
}

impl<C> TargetReservation for PassedOn<C>
where
    C: Clock,
{
    fn host(&self) -> &HostId {
        &self.host
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn passed_on_by(&self) -> Option<&EntryId> {
        Some(&self.state.settings.entry)
    }

    fn expected_wait(&self) -> Duration {
        EXPECTED_WAIT
    }

    fn urgency(&self) -> Option<Urgency> {
        // The other entry decides on it.
        None
    }

    fn choice_info(&self) -> ChoiceInfo {
        ChoiceInfo {
            candidates: 1,
            suspects: 0,
            in_flight: 0.0,
            load_age: None,
            limit: None,
            records_age: None,
        }
    }

    fn is_still_usable(&self) -> bool {
        true
    }

    // The other entry knows which target it is, and keeps its limit, load and state.
    fn on_stated_limit(&mut self, _limit: StatedLimit) {}

    fn on_leaving_stated(&mut self) {}

    // The target asked the other entry, and the other entry asks for nothing of its own.
    fn on_backoff_requested(&mut self, _rest: Duration) {}

    fn on_first_answer(&mut self, _load: Option<AnswerLoad>) {
        self.on_progress();
    }

    fn on_progress(&mut self) {
        self.is_silent = false;
        self.progress_at = self.state.clock.now();
    }

    fn on_event(&mut self) {}

    fn time_since_own_progress(&self) -> Duration {
        self.time_since_data()
    }

    fn time_since_progress(&self) -> Duration {
        self.time_since_data()
    }

    fn on_silence(&mut self) -> bool {
        if std::mem::replace(&mut self.is_silent, true) {
            return false;
        }
        self.avoid_entry();
        true
    }

    fn on_end(&mut self, end: Option<SendFailure>) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let label = end.map_or_else(|| String::from("complete"), |end| end.to_string());
        self.state.metrics.count_passed_on(&self.service, &label);
        if matches!(end, Some(SendFailure::NotSent | SendFailure::Broken)) {
            self.avoid_entry();
        }
    }
}

/// Where a request goes.
#[derive(Debug)]
pub enum Reservation<C>
where
    C: Clock,
{
    /// To a target; boxed, since it is much larger than the other variant.
    Target(Box<ReservedTarget<C>>),
    /// To another entry, because this one reaches no target.
    Entry(PassedOn<C>),
}

/// Calls a method of the target or of the entry.
macro_rules! delegate {
    ($self:ident, $method:ident ( $($argument:expr),* )) => {
        match $self {
            Self::Target(target) => target.$method($($argument),*),
            Self::Entry(entry) => entry.$method($($argument),*),
        }
    };
}

impl<C> TargetReservation for Reservation<C>
where
    C: Clock,
{
    fn host(&self) -> &HostId {
        delegate!(self, host())
    }

    fn address(&self) -> SocketAddr {
        delegate!(self, address())
    }

    fn passed_on_by(&self) -> Option<&EntryId> {
        delegate!(self, passed_on_by())
    }

    fn expected_wait(&self) -> Duration {
        delegate!(self, expected_wait())
    }

    fn urgency(&self) -> Option<Urgency> {
        delegate!(self, urgency())
    }

    fn choice_info(&self) -> ChoiceInfo {
        delegate!(self, choice_info())
    }

    fn is_still_usable(&self) -> bool {
        delegate!(self, is_still_usable())
    }

    fn on_stated_limit(&mut self, limit: StatedLimit) {
        delegate!(self, on_stated_limit(limit));
    }

    fn on_leaving_stated(&mut self) {
        delegate!(self, on_leaving_stated());
    }

    fn on_backoff_requested(&mut self, backoff: Duration) {
        delegate!(self, on_backoff_requested(backoff));
    }

    fn on_first_answer(&mut self, load: Option<AnswerLoad>) {
        delegate!(self, on_first_answer(load));
    }

    fn on_progress(&mut self) {
        delegate!(self, on_progress());
    }

    fn on_event(&mut self) {
        delegate!(self, on_event());
    }

    fn time_since_own_progress(&self) -> Duration {
        delegate!(self, time_since_own_progress())
    }

    fn time_since_progress(&self) -> Duration {
        delegate!(self, time_since_progress())
    }

    fn on_silence(&mut self) -> bool {
        delegate!(self, on_silence())
    }

    fn on_end(&mut self, end: Option<SendFailure>) {
        delegate!(self, on_end(end));
    }
}
