//! Queries entries for the version that they have in force.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::EnvironmentId;
use beryltray_lib::process::status::EntryStatus;
use beryltray_lib::units::parse_duration;
use beryltray_lib::version::change::rollout::EntryVersionReport;
use beryltray_lib::version::change::rollout::RolloutProgress;
use beryltray_lib::version::head::HeadMark;
use clap::Args;
use log::debug;
use tokio::task::JoinSet;

use super::ConfigError;
use crate::entry_client::read_status;

/// The timeout for one entry's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause between two rounds of status requests.
const POLL_DELAY: Duration = Duration::from_millis(50);
/// The states of members that a rollout does not wait for, as an entry's status spells them.
const ABSENT_STATES: [&str; 2] = ["gone", "left"];

/// Options that select the entries to query.
#[derive(Args, Clone, Debug)]
pub(crate) struct EntryOptions {
    /// An entry's address for operators; may be repeated. Its known members count as well.
    #[arg(long = "entry", value_name = "IP:PORT")]
    entries: Vec<SocketAddr>,
    /// How long to wait until the version is in force on all entries.
    #[arg(long, value_parser = parse_duration, default_value = "10s")]
    within: Duration,
    /// Don't wait for the version to be in force.
    #[arg(long)]
    no_wait: bool,
}

/// The status that the entry at an address reported.
struct EntryAnswer {
    address: SocketAddr,
    status: EntryStatus,
}

impl EntryOptions {
    /// Returns whether to wait for a rollout: entries were given, and not `--no-wait`.
    pub(crate) fn has_entries_to_wait_for(&self) -> bool {
        !self.no_wait && !self.entries.is_empty()
    }

    /// Returns the highest version in force on any of the entries, or `None` if none reported one.
    ///
    /// Fails if an entry serves another environment. Entries that don't answer are ignored.
    pub(crate) async fn highest_in_force(
        &self,
        environment: &EnvironmentId,
    ) -> Result<Option<HeadMark>, ConfigError> {
        let answers = query_statuses(&self.entries).await;
        for answer in &answers {
            check_environment(answer, environment)?;
        }
        let marks = answers
            .iter()
            .filter_map(|answer| head_mark(&answer.status));
        Ok(marks.max())
    }

    /// Polls the entries until the version is in force on all of them or `--within` has elapsed.
    pub(crate) async fn wait(&self, mark: HeadMark) -> RolloutProgress {
        let deadline = SystemClock.now() + self.within;
        let mut progress = RolloutProgress::new(mark, &self.entries);
        loop {
            for answer in query_statuses(&self.entries).await {
                record_answer(&mut progress, answer);
            }
            if progress.is_complete() || has_passed(deadline) {
                return progress;
            }
            tokio::time::sleep(POLL_DELAY).await;
        }
    }
}

fn has_passed(deadline: Instant) -> bool {
    SystemClock.now() >= deadline
}

fn check_environment(answer: &EntryAnswer, expected: &EnvironmentId) -> Result<(), ConfigError> {
    if answer.status.environment == *expected {
        return Ok(());
    }
    Err(ConfigError::OtherEnvironment {
        address: answer.address,
        found: answer.status.environment.clone(),
        expected: expected.clone(),
    })
}

async fn query_statuses(addresses: &[SocketAddr]) -> Vec<EntryAnswer> {
    let mut tasks = JoinSet::new();
    for address in addresses.iter().copied() {
        tasks.spawn(async move { (address, read_status(address, STATUS_TIMEOUT).await) });
    }
    let mut answers = Vec::new();
    while let Some(joined) = tasks.join_next().await {
        match joined {
            Ok((address, Ok(status))) => answers.push(EntryAnswer { address, status }),
            Ok((address, Err(error))) => debug!(address:% = address, error:% = error; "not heard"),
            Err(error) => debug!(error:% = error; "status request task failed"),
        }
    }
    answers
}

fn head_mark(status: &EntryStatus) -> Option<HeadMark> {
    Some(HeadMark {
        version: status.document_version?,
        digest: status.document_digest.clone()?,
    })
}

fn record_answer(progress: &mut RolloutProgress, answer: EntryAnswer) {
    for member in &answer.status.members {
        if !ABSENT_STATES.contains(&member.state.as_str()) {
            progress.on_member_report(member.entry.clone(), member.document_version);
        }
    }
    let version = EntryVersionReport {
        in_force: head_mark(&answer.status),
        reason: answer.status.not_ready_because.clone(),
        entry: answer.status.entry,
    };
    progress.on_entry_report(answer.address, version);
}
