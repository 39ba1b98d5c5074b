//! Checkers of recorded histories, which compare the callers' results with the stand-ins' records.
//!
//! Each checker is a pure function over a [`History`] and checks one [`Guarantee`]. It lists the
//! violations and counts the checked operations, so that an empty history is not taken as a pass.

mod answers;
mod at_most_once;
mod claims;
mod leaving;
mod missing_members;
mod not_run;
mod placement;
pub mod recovery;
mod versions;
mod violation;

use std::time::Duration;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EntryId;
use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use beryltray_stand_ins::truth::EngineTruth;
use beryltray_stand_ins::truth::PlainTruth;
use beryltray_stand_ins::truth::PlatformTruth;
use beryltray_stand_ins::truth::WorkEnd;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

pub use self::violation::Violation;

/// A guarantee of the system that a history can violate.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guarantee {
    /// Keyed work runs at most once.
    #[display("keyed work runs at most once")]
    AtMostOnce,
    /// A request that was reported as not run has not run and does not run later.
    #[display("'not run' means not run")]
    NotRun,
    /// The attempts under one key are linearizable: once one has a result, no later one is reported
    /// as not run.
    #[display("tries under a key are linearizable")]
    #[serde(rename = "claim-order")]
    LinearizableClaims,
    /// A complete answer is the full answer to the caller's own request.
    #[display("a complete answer is own and whole")]
    #[serde(rename = "own-whole-answer")]
    AnswerIntegrity,
    /// No request is sent to a group one of whose members is missing for longer than
    /// [`Bounds::presence`].
    #[display("no request to a group with a member missing")]
    #[serde(rename = "gate")]
    NoMissingMember,
    /// No host belongs to two groups.
    #[display("no host belongs to two groups")]
    #[serde(rename = "one-group-a-host")]
    OneGroupPerHost,
    /// Each takeover of the lease increments its epoch, and no placement is written under an older
    /// epoch.
    #[display("placement is written under the newest lease only")]
    FencedWrites,
    /// A leaving target receives no new request after [`Bounds::leaving`].
    #[display("no new work for a leaving target")]
    #[serde(rename = "leaving")]
    NoWorkForLeavingTarget,
    /// Neither the accepted version nor the version in force ever decreases.
    #[display("a configuration never reverts")]
    #[serde(rename = "head-only-grows")]
    MonotonicVersion,
}

/// The version in force at an entry, as the entry reported it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionObservation {
    /// When the entry was asked, in Unix microseconds.
    pub at_unix_us: u64,
    /// The entry that was asked.
    pub entry: EntryId,
    /// The version that it reported.
    pub version: DocumentVersion,
}

/// The records of one trial.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The requests and their results, recorded by the callers.
    pub invocations: Vec<Invocation>,
    /// The requests that the engines received.
    pub engines: Vec<EngineTruth>,
    /// The requests that the plain services received.
    pub plains: Vec<PlainTruth>,
    /// The table commits, restores and leaving hosts, recorded by the platform.
    pub platform: PlatformTruth,
    /// The versions in force that the entries reported, in the order of the queries.
    pub versions: Vec<VersionObservation>,
}

/// The time bounds of the guarantees.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// How long a group may still receive requests after a member is lost.
    pub presence: Duration,
    /// How long a target may still receive requests after it was marked as leaving.
    pub leaving: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            presence: Duration::from_secs(3),
            leaving: Duration::from_secs(5),
        }
    }
}

/// The result of checking one guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The checked guarantee.
    pub guarantee: Guarantee,
    /// The number of operations that could have violated it.
    pub checked_operations: u64,
    /// The violations; empty if the guarantee holds.
    pub violations: Vec<Violation>,
}

/// A run of a request at an engine or a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Run {
    marker: String,
    received_unix_us: u64,
}

impl History {
    /// Checks all guarantees and returns one verdict for each.
    ///
    /// ```
    /// use beryltray_testutils::history::Bounds;
    /// use beryltray_testutils::history::History;
    ///
    /// let verdicts = History::default().check(&Bounds::default());
    /// assert!(verdicts.iter().all(|verdict| verdict.violations.is_empty()));
    /// ```
    pub fn check(&self, bounds: &Bounds) -> Vec<Verdict> {
        vec![
            at_most_once::check(self),
            not_run::check(self),
            claims::check(self),
            answers::check(self),
            missing_members::check(self, bounds),
            placement::check_one_group(self),
            placement::check_fenced_writes(self),
            leaving::check(self, bounds),
            versions::check(self),
        ]
    }

    /// Returns the runs of all requests, sorted by marker.
    ///
    /// At a plain service, a run is a request recorded as run. At an engine, it is any request that
    /// was not refused, since the engine may have acted on it.
    fn runs(&self) -> Vec<Run> {
        let plains = self.plains.iter().flat_map(|truth| &truth.works);
        let plains = plains.filter(|work| work.is_run).map(|work| Run {
            marker: work.marker.clone(),
            received_unix_us: work.received_unix_us,
        });
        let engines = self.engines.iter().flat_map(|truth| &truth.works);
        let engines = engines.filter(|work| work.end != WorkEnd::Refused);
        let engines = engines.map(|work| Run {
            marker: work.marker.clone(),
            received_unix_us: work.received_unix_us,
        });
        let mut runs = plains.chain(engines).collect::<Vec<_>>();
        runs.sort_by(|a, b| a.marker.cmp(&b.marker));
        runs
    }

    /// Returns the invocations, sorted by marker and then by sending time.
    fn invocations_by_marker(&self) -> Vec<&Invocation> {
        let mut invocations = self.invocations.iter().collect::<Vec<_>>();
        invocations.sort_by_key(|invocation| (&invocation.marker, invocation.sent_unix_us));
        invocations
    }
}

/// Returns whether `outcome` means that the request was certainly not run.
fn is_reported_not_run(outcome: CallerOutcome) -> bool {
    matches!(outcome, CallerOutcome::NotRun | CallerOutcome::NotSent)
}

fn as_ms(bound: Duration) -> u64 {
    u64::try_from(bound.as_millis()).unwrap_or(u64::MAX)
}
