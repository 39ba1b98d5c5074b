//! `beryltray config apply`: applies a document as the next version of an environment.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use beryltray_lib::attempt_ids::RandomAttemptIds;
use beryltray_lib::clock::Clock;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::digest_of;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::units::parse_duration;
use beryltray_lib::version::change::ChangeOutcome;
use beryltray_lib::version::change::ChangeRequest;
use beryltray_lib::version::change::ChangeSettings;
use beryltray_lib::version::change::driver::ChangeDriver;
use beryltray_lib::version::head::HeadMark;
use beryltray_lib::version::parse::parse_document;
use clap::Args;

use super::ConfigError;
use super::EXIT_CODE_CONFLICT;
use super::EXIT_CODE_NOT_EVERYWHERE;
use super::entries::EntryOptions;
use super::options::EnvironmentOptions;
use super::options::Platform;
use super::options::check_hosts;
use super::options::read_document;
use super::report::ChangeReport;
use super::report::RolloutReport;
use super::report::print_json;
use super::report::resolve_version;
use crate::commands::load::OutputFormat;

/// Applies a document as the next version of an environment.
///
/// --base names the version that your change is based on; `config show` prints it. If another change
/// was accepted since then, nothing is changed and both changes are shown. If a response of the
/// platform is lost, the command reads the version back, so that a change is never applied twice.
///
/// With --entry, the command waits until the version is in force on the given entries and on all
/// their known members, and lists the entries that don't have it yet or did not answer.
///
/// Exit codes: 0 accepted, and in force on all entries that were queried; 1 the platform failed; 2 the
/// document or the command line is invalid; 3 conflict with another change; 4 accepted, but not
/// confirmed to be in force on every entry.
#[derive(Args, Debug)]
pub(crate) struct ApplyArgs {
    /// The document to apply.
    #[arg(
        value_name = "FILE",
        conflicts_with = "earlier",
        required_unless_present = "earlier"
    )]
    file: Option<PathBuf>,
    /// Apply the text of this earlier version again, which undoes all later changes.
    #[arg(long, value_name = "NUMBER")]
    earlier: Option<DocumentVersion>,
    #[command(flatten)]
    environment: EnvironmentOptions,
    #[command(flatten)]
    change: ChangeOptions,
}

/// Options that `config apply` and `config promote` share.
#[derive(Args, Debug)]
pub(crate) struct ChangeOptions {
    /// The version that the change is based on; 0 if the environment has no version yet.
    #[arg(long, value_name = "NUMBER")]
    base: DocumentVersion,
    /// The author of the change, recorded in the history.
    #[arg(long, value_name = "NAME", env = "USER", default_value = "unknown")]
    author: String,
    #[command(flatten)]
    entries: EntryOptions,
    /// How long calls to a failing platform are retried.
    #[arg(long, value_parser = parse_duration, default_value = "20s")]
    patience: Duration,
    /// Accept a document whose replicas don't fit on the platform's live hosts.
    #[arg(long)]
    without_host_check: bool,
    /// The output format.
    #[arg(long, value_enum, default_value_t)]
    format: OutputFormat,
}

impl ApplyArgs {
    /// Applies the document.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        let text = match &self.file {
            Some(path) => read_document(path)?.0,
            None => {
                let versions = self.environment.versions();
                let row = resolve_version(&versions, self.earlier).await?;
                versions.text(&row.digest).await?
            }
        };
        self.change.run(&self.environment, &text).await
    }
}

impl ChangeOptions {
    /// Applies `text` as the next version and prints the outcome.
    pub(crate) async fn run(
        &self,
        environment: &EnvironmentOptions,
        text: &str,
    ) -> Result<ExitCode, ConfigError> {
        let document = parse_document(text)?;
        if !self.without_host_check {
            check_hosts(&environment.platform.client(), &document).await?;
        }
        let request = self.request(environment, text).await?;
        let settings = ChangeSettings {
            retry_timeout: self.patience,
            ..ChangeSettings::default()
        };
        let driver = ChangeDriver::new(environment.versions(), SystemClock, settings);
        let outcome = driver.apply(request, text, RandomAttemptIds).await;
        let report = self.report(&driver, outcome, text).await?;
        match self.format {
            OutputFormat::Json => print_json(&report)?,
            OutputFormat::Table => report.print(),
        }
        Ok(exit_code(&report))
    }

    async fn request(
        &self,
        environment: &EnvironmentOptions,
        text: &str,
    ) -> Result<ChangeRequest, ConfigError> {
        let highest = self.entries.highest_in_force(&environment.environment);
        let wall_time = SystemClock.wall_time().duration_since(UNIX_EPOCH);
        Ok(ChangeRequest {
            base: self.base,
            digest: digest_of(text.as_bytes()),
            author: self.author.clone(),
            accepted_unix_s: wall_time.unwrap_or_default().as_secs(),
            highest_in_force: highest.await?,
        })
    }

    async fn report(
        &self,
        driver: &ChangeDriver<Platform, SystemClock>,
        outcome: ChangeOutcome,
        text: &str,
    ) -> Result<ChangeReport, ConfigError> {
        let failed = |is_certain| ChangeReport::Failed {
            reason: outcome.to_string(),
            is_certain,
        };
        Ok(match &outcome {
            ChangeOutcome::Accepted { row } => ChangeReport::Accepted {
                version: row.clone(),
                force: self.wait_for_rollout(row).await,
            },
            ChangeOutcome::Unchanged { row } => ChangeReport::Unchanged {
                version: row.clone(),
                force: self.wait_for_rollout(row).await,
            },
            ChangeOutcome::Conflict { base, current } => match current {
                Some(current) => {
                    let report = driver.conflict_report(*base, current.clone(), text);
                    ChangeReport::conflict(report.await?)
                }
                None => ChangeReport::Conflict {
                    base: *base,
                    current: None,
                    theirs: String::new(),
                    yours: String::new(),
                },
            },
            ChangeOutcome::TableBehind { .. } | ChangeOutcome::NotAccepted { .. } => failed(true),
            ChangeOutcome::Undecided { .. } => failed(false),
        })
    }

    async fn wait_for_rollout(&self, row: &HeadRow) -> Option<RolloutReport> {
        if !self.entries.has_entries_to_wait_for() {
            return None;
        }
        let started_at = SystemClock.now();
        let progress = self.entries.wait(HeadMark::from(row)).await;
        let waited = SystemClock.now().duration_since(started_at);
        Some(RolloutReport::new(&progress, waited))
    }
}

fn exit_code(report: &ChangeReport) -> ExitCode {
    match report {
        ChangeReport::Accepted { force, .. } | ChangeReport::Unchanged { force, .. } => {
            let is_everywhere = force.as_ref().is_none_or(RolloutReport::is_complete);
            if is_everywhere {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_CODE_NOT_EVERYWHERE)
            }
        }
        ChangeReport::Conflict { .. } => ExitCode::from(EXIT_CODE_CONFLICT),
        ChangeReport::Failed { .. } => ExitCode::FAILURE,
    }
}
