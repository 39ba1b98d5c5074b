//! The presence of one host.

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

/// A report and the time as of which it is valid.
#[derive(Clone, Debug)]
struct LastReport {
    report: HostReport,
    confirmed_at: Instant,
    source: ReportSource,
}

/// The mark of a leaving host. It stays after the source that set it no longer reports the host as
/// leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    /// The incarnation that is leaving; `None` if the host had not reported when it was marked.
    incarnation: Option<Incarnation>,
}

/// The state of one host from the platform's list, its reports and attempts to reach it.
#[derive(Clone, Debug)]
pub struct HostPresence {
    host: HostId,
    listed: Option<ListedHost>,
    last_report: Option<LastReport>,
    unreachable_at: Option<Instant>,
    leaving: Option<LeavingMark>,
    last_seen_at: Instant,
}

impl Keyed for HostPresence {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl HostPresence {
    /// Returns the name under which the host is listed and reports.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the host's last entry in the platform's list, or `None` if it was never listed.
    pub fn listed(&self) -> Option<&ListedHost> {
        self.listed.as_ref()
    }

    /// Returns the host's last report, regardless of its age.
    pub fn report(&self) -> Option<&HostReport> {
        self.last_report.as_ref().map(|last| &last.report)
    }

    /// Returns how the last report reached this process.
    pub fn report_source(&self) -> Option<ReportSource> {
        self.last_report.as_ref().map(|last| last.source)
    }

    /// Returns the age of the last report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let last = self.last_report.as_ref()?;
        Some(now.saturating_duration_since(last.confirmed_at))
    }

    /// Returns whether the platform's list, a report or a peer has marked the host as leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns whether the host could not be reached and has not reported since.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_at.is_some()
    }

    /// Returns the last report if it is not older than `presence_bound` and the host is neither
    /// leaving nor unreachable. Otherwise, the error is the reason.
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
        let Some(last) = &self.last_report else {
            return Err(ClosedReason::NeverReported { host });
        };
        let age = now.saturating_duration_since(last.confirmed_at);
        if age > presence_bound {
            return Err(ClosedReason::Silent { host, age });
        }
        Ok(&last.report)
    }

    pub(super) fn new(host: HostId, now: Instant) -> Self {
        Self {
            host,
            listed: None,
            last_report: None,
            unreachable_at: None,
            leaving: None,
            last_seen_at: now,
        }
    }

    pub(super) fn last_seen_at(&self) -> Instant {
        self.last_seen_at
    }

    pub(super) fn on_listed(&mut self, listed: ListedHost, now: Instant) {
        let is_leaving = listed.state == ListedState::Leaving;
        self.listed = Some(listed);
        self.last_seen_at = now;
        if is_leaving {
            self.mark_leaving(None);
        } else {
            self.clear_leaving_if_returned();
        }
    }

    /// Records a report that is valid as of `confirmed_at`.
    ///
    /// A report of an earlier incarnation is ignored. Of two reports of the same incarnation the
    /// later one is kept, but a leaving mark is applied regardless of the age of the report.
    pub(super) fn on_report(
        &mut self,
        report: HostReport,
        confirmed_at: Instant,
        source: ReportSource,
        now: Instant,
    ) {
        let last = self.last_report.as_ref();
        if last.is_some_and(|last| report.incarnation < last.report.incarnation) {
            return;
        }
        self.last_seen_at = now;
        let leaving_incarnation = report.is_leaving.then_some(report.incarnation);
        let is_superseded = last.is_some_and(|last| {
            report.incarnation == last.report.incarnation && confirmed_at < last.confirmed_at
        });
        if !is_superseded {
            self.last_report = Some(LastReport {
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
    /// `reported` is the incarnation that the source names as leaving; the mark moves to it if it
    /// is newer. A source without an incarnation, such as the platform's list, doesn't change an
    /// earlier mark, because the list may lag behind and mean the previous incarnation.
    pub(super) fn mark_leaving(&mut self, reported: Option<Incarnation>) {
        let marked = self.leaving.map(|mark| mark.incarnation);
        let incarnation = match (reported, marked) {
            (Some(reported), marked) => Some(reported).max(marked.flatten()),
            (None, Some(marked)) => marked,
            (None, None) => self.report().map(|report| report.incarnation),
        };
        self.leaving = Some(LeavingMark { incarnation });
    }

    /// Clears the mark once a newer incarnation of the host reports and the platform lists the host
    /// as live.
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
