//! The entries that an operator asks whether a version is in force.

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

/// How long one entry may take to answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause between two rounds of questions.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// What an entry calls a member that it does not hear, or that has left.
const ABSENT_STATES: [&str; 2] = ["gone", "left"];

/// Which entries are asked.
#[derive(Args, Clone, Debug)]
pub(crate) struct EntryOptions {
    /// An entry's address for operators; may be repeated. The entries that it knows count as well.
    #[arg(long = "entry", value_name = "IP:PORT")]
    entries: Vec<SocketAddr>,
    /// How long to wait until the version is in force everywhere.
    #[arg(long, value_parser = parse_duration, default_value = "10s")]
    within: Duration,
    /// Don't wait until the version is in force.
    #[arg(long)]
    no_wait: bool,
}

/// An entry's answer.
struct Heard {
    address: SocketAddr,
    status: EntryStatus,
}

impl EntryOptions {
    /// Returns whether there is anyone to wait for.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.no_wait && !self.entries.is_empty()
    }

    /// Returns the highest version that an entry has in force.
    pub(crate) async fn highest_in_force(
        &self,
        environment: &EnvironmentId,
    ) -> Result<Option<HeadMark>, ConfigError> {
        let heard = ask(&self.entries).await;
        for heard in &heard {
            check_environment(heard, environment)?;
        }
        let marks = heard.iter().filter_map(|heard| mark_of(&heard.status));
        Ok(marks.max())
    }

    /// Waits until a version is in force everywhere or the time is over.
    pub(crate) async fn wait(&self, mark: HeadMark) -> RolloutProgress {
        let give_up_at = SystemClock.now() + self.within;
        let mut progress = RolloutProgress::new(mark, &self.entries);
        loop {
            for heard in ask(&self.entries).await {
                take_in(&mut progress, heard);
            }
            if progress.is_complete() || is_over(give_up_at) {
                return progress;
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }
}

fn is_over(give_up_at: Instant) -> bool {
    SystemClock.now() >= give_up_at
}

fn check_environment(heard: &Heard, expected: &EnvironmentId) -> Result<(), ConfigError> {
    if heard.status.environment == *expected {
        return Ok(());
    }
    Err(ConfigError::OtherEnvironment {
        address: heard.address,
        found: heard.status.environment.clone(),
        expected: expected.clone(),
    })
}

async fn ask(addresses: &[SocketAddr]) -> Vec<Heard> {
    let mut tasks = JoinSet::new();
    for address in addresses.iter().copied() {
        tasks.spawn(async move { (address, read_status(address, STATUS_TIMEOUT).await) });
    }
    let mut all = Vec::new();
    while let Some(joined) = tasks.join_next().await {
        match joined {
            Ok((address, Ok(status))) => all.push(Heard { address, status }),
            Ok((address, Err(error))) => debug!(address:% = address, error:% = error; "not heard"),
            Err(error) => debug!(error:% = error; "a question was aborted"),
        }
    }
    all
}

fn mark_of(status: &EntryStatus) -> Option<HeadMark> {
    Some(HeadMark {
        version: status.document_version?,
        digest: status.document_digest.clone()?,
    })
}

fn take_in(progress: &mut RolloutProgress, heard: Heard) {
    for member in &heard.status.members {
        if !ABSENT_STATES.contains(&member.state.as_str()) {
            progress.on_member_report(member.entry.clone(), member.document_version);
        }
    }
    let version = EntryVersionReport {
        in_force: mark_of(&heard.status),
        reason: heard.status.not_ready_because.clone(),
        entry: heard.status.entry,
    };
    progress.on_entry_report(heard.address, version);
}
