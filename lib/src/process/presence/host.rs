//! What is known of one host.

use std::time::Duration;
use std::time::Instant;

use super::ClosedReason;
use super::ReportSource;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::platform::ListedHost;
use crate::platform::ListedState;
use crate::sorted::Keyed;
use crate::target::wire::HostReport;

/// A report and the moment for which it speaks.
#[derive(Clone, Debug)]
struct HeldReport {
    report: HostReport,
    confirmed_at: Instant,
    source: ReportSource,
}

/// The mark of a leaving host, which outlives the word that set it.
#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    /// The life that is leaving; `None` if the host had not reported when it was marked.
    incarnation: Option<Incarnation>,
}

/// What is known of one host from the platform's list and from reports.
#[derive(Clone, Debug)]
pub struct HostPresence {
    host: HostId,
    listed: Option<ListedHost>,
    held: Option<HeldReport>,
    unreachable_at: Option<Instant>,
    leaving: Option<LeavingMark>,
    seen_at: Instant,
}

impl Keyed for HostPresence {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl HostPresence {
    /// Returns the host's name.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the last entry of the platform's list for the host.
    pub fn listed(&self) -> Option<&ListedHost> {
        self.listed.as_ref()
    }

    /// Returns the host's last report.
    pub fn report(&self) -> Option<&HostReport> {
        self.held.as_ref().map(|held| &held.report)
    }

    /// Returns who gave the last report.
    pub fn report_source(&self) -> Option<ReportSource> {
        self.held.as_ref().map(|held| held.source)
    }

    /// Returns the age of the last report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let held = self.held.as_ref()?;
        Some(now.saturating_duration_since(held.confirmed_at))
    }

    /// Returns whether the host is leaving by anyone's word.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns whether the host could not be reached and has not reported since.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_at.is_some()
    }

    /// Returns the last report if it is fresh and the host is neither leaving nor unreachable.
    pub fn fresh_report(
        &self,
        presence_bound: Duration,
        now: Instant,
    ) -> Result<&HostReport, ClosedReason> {
        let host = self.host.clone();
        if self.is_leaving() {
            return Err(ClosedReason::Leaving { host });
        }
        if self.is_unreachable() {
            return Err(ClosedReason::Unreachable { host });
        }
        let Some(held) = &self.held else {
            return Err(ClosedReason::NeverReported { host });
        };
        let age = now.saturating_duration_since(held.confirmed_at);
        if age > presence_bound {
            return Err(ClosedReason::Silent { host, age });
        }
        Ok(&held.report)
    }

    pub(super) fn new(host: HostId, now: Instant) -> Self {
        Self {
            host,
            listed: None,
            held: None,
            unreachable_at: None,
            leaving: None,
            seen_at: now,
        }
    }

    pub(super) fn seen_at(&self) -> Instant {
        self.seen_at
    }

    pub(super) fn on_listed(&mut self, listed: ListedHost, now: Instant) {
        let is_leaving = listed.state == ListedState::Leaving;
        self.listed = Some(listed);
        self.seen_at = now;
        if is_leaving {
            self.mark_leaving(None);
        } else {
            self.clear_leaving_if_returned();
        }
    }

    /// Takes a report that speaks for the moment `confirmed_at`.
    ///
    /// A report of an earlier life says nothing about this one. Of two reports of the same life the
    /// later one counts, but for the leaving mark, which counts whatever its age.
    pub(super) fn on_report(
        &mut self,
        report: HostReport,
        confirmed_at: Instant,
        source: ReportSource,
        now: Instant,
    ) {
        let held = self.held.as_ref();
        if held.is_some_and(|held| report.incarnation < held.report.incarnation) {
            return;
        }
        self.seen_at = now;
        let leaving_incarnation = report.is_leaving.then_some(report.incarnation);
        let is_superseded = held.is_some_and(|held| {
            report.incarnation == held.report.incarnation && confirmed_at < held.confirmed_at
        });
        if !is_superseded {
            self.held = Some(HeldReport {
                report,
                confirmed_at,
                source,
            });
        }
        if self.unreachable_at.is_some_and(|at| confirmed_at > at) {
            self.unreachable_at = None;
        }
        if leaving_incarnation.is_some() {
            self.mark_leaving(leaving_incarnation);
        } else {
            self.clear_leaving_if_returned();
        }
    }

    pub(super) fn on_unreachable(&mut self, now: Instant) {
        self.unreachable_at = Some(now);
    }

    /// Marks the host as leaving.
    ///
    /// A word that names the leaving life moves the mark to it. One that does not, such as the
    /// platform's list, leaves an earlier mark as it is: the list may still speak of the last life.
    pub(super) fn mark_leaving(&mut self, named: Option<Incarnation>) {
        let marked = self.leaving.map(|mark| mark.incarnation);
        let incarnation = match (named, marked) {
            (Some(named), marked) => Some(named).max(marked.flatten()),
            (None, Some(marked)) => marked,
            (None, None) => self.report().map(|report| report.incarnation),
        };
        self.leaving = Some(LeavingMark { incarnation });
    }

    /// Takes the mark away once a newer life of the host reports and the platform lists it as live.
    fn clear_leaving_if_returned(&mut self) {
        let Some(mark) = self.leaving else {
            return;
        };
        let listed = self.listed.as_ref();
        let is_listed_live = listed.is_some_and(|listed| listed.state == ListedState::Live);
        let has_returned = self.report().is_some_and(|report| {
            let is_newer = mark
                .incarnation
                .is_none_or(|marked| report.incarnation > marked);
            is_newer && !report.is_leaving
        });
        if is_listed_live && has_returned {
            self.leaving = None;
        }
    }
}
