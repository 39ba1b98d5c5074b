//! Checkers of recorded histories: what callers saw against what the stand-ins know to be true.
//!
//! A checker is a pure function over a [`History`]. It counts the operations that it looked at, so
//! that an empty history is not taken for a proof, and lists what breaks the promise.

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

/// A promise of the system that a history can break.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guarantee {
    /// Keyed work runs at most once.
    #[display("keyed work runs at most once")]
    AtMostOnce,
    /// What a caller is told was not run, was not run.
    #[display("'not run' means not run")]
    NotRun,
    /// The tries under one key are linearizable: after a result, no later try is told "not run".
    #[display("tries under a key are linearizable")]
    #[serde(rename = "claim-order")]
    LinearizableClaims,
    /// A complete answer is the whole answer to the caller's own request.
    #[display("a complete answer is own and whole")]
    #[serde(rename = "own-whole-answer")]
    AnswerIntegrity,
    /// No request is sent to a group with a member missing beyond the bound.
    #[display("no request to a group with a member missing")]
    #[serde(rename = "gate")]
    NoMissingMember,
    /// No host belongs to two groups.
    #[display("no host belongs to two groups")]
    #[serde(rename = "one-group-a-host")]
    OneGroupPerHost,
    /// The lease's epoch grows at each takeover, and no older epoch writes placement.
    #[display("placement is written under the newest lease only")]
    FencedWrites,
    /// A target that is leaving gets no new work after the bound.
    #[display("no new work for a leaving target")]
    #[serde(rename = "leaving")]
    NoWorkForLeavingTarget,
    /// Neither the accepted version nor the one in force ever goes back.
    #[display("a configuration never reverts")]
    #[serde(rename = "head-only-grows")]
    MonotonicVersion,
}

/// The version that an entry said was in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionObservation {
    /// When it was asked.
    pub at_unix_us: u64,
    /// The entry.
    pub entry: EntryId,
    /// The version.
    pub version: DocumentVersion,
}

/// All that was recorded in one trial.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What the callers saw.
    pub invocations: Vec<Invocation>,
    /// What the engines know.
    pub engines: Vec<EngineTruth>,
    /// What the plain services know.
    pub plains: Vec<PlainTruth>,
    /// What the platform knows.
    pub platform: PlatformTruth,
    /// What the entries said was in force, in the order of asking.
    pub versions: Vec<VersionObservation>,
}

/// The times that the promises allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// How long a member may be missing before requests must stop.
    pub presence: Duration,
    /// How long after a target's mark as leaving requests must stop.
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

/// What became of one promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The promise.
    pub guarantee: Guarantee,
    /// The number of operations that could have broken it.
    pub checked_operations: u64,
    /// What broke it.
    pub violations: Vec<Violation>,
}

/// A run of a request at a target, whatever the target is.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Run {
    marker: String,
    received_unix_us: u64,
}

impl History {
    /// Checks all promises.
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

    /// Returns the runs of all requests, in the order of their markers.
    ///
    /// What a target refused or attested as refused did not run; all else counts as run, since the
    /// target might have acted on it.
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

    /// Returns the invocations in the order of their markers, then of their sending.
    fn invocations_by_marker(&self) -> Vec<&Invocation> {
        let mut invocations = self.invocations.iter().collect::<Vec<_>>();
        invocations.sort_by_key(|invocation| (&invocation.marker, invocation.sent_unix_us));
        invocations
    }
}

/// Returns whether the caller was told that nothing was run.
fn is_told_not_run(outcome: CallerOutcome) -> bool {
    matches!(outcome, CallerOutcome::NotRun | CallerOutcome::NotSent)
}

fn as_ms(bound: Duration) -> u64 {
    u64::try_from(bound.as_millis()).unwrap_or(u64::MAX)
}
