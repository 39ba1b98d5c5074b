//! `beryltray load`: sends requests at a given rate and reports their outcomes and latencies.

use std::io::BufWriter;
use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use beryltray_lib::ids::AccountId;
use beryltray_lib::units::RequestRate;
use beryltray_lib::units::Share;
use beryltray_lib::units::parse_duration;
use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use clap::Args;
use clap::ValueEnum;
use derive_more::Display;
use derive_more::Error;
use tokio::sync::mpsc;

use crate::load::arrivals::ArrivalSettings;
use crate::load::balancer::Balancer;
use crate::load::caller::CallSettings;
use crate::load::runner::LoadSettings;
use crate::load::runner::run_load;
use crate::load::spec::AccountSpec;
use crate::load::spec::EntrySpec;
use crate::load::spec::WorkSpec;

/// Why no load was sent, or its results could not be written.
#[derive(Debug, Display, Error)]
pub(crate) enum LoadError {
    /// Neither `--work` nor `--keyed` was given.
    #[display("no work to send. Hint: give work with --work or --keyed")]
    NoWork,
    /// Writing the history file failed.
    #[display("can't write {}: {reason}. Hint: check the path", path.display())]
    History {
        /// The path after `--history`.
        path: PathBuf,
        /// The error of the operating system or the JSON encoder.
        reason: String,
    },
    /// Encoding the results as JSON failed.
    #[display("can't encode the results as JSON: {reason}. Hint: leave --format out")]
    Results {
        /// The encoder's error.
        reason: String,
    },
}

/// The output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    #[default]
    Table,
    /// JSON.
    Json,
}

/// Sends requests at a given rate and reports their outcomes and latencies.
///
/// The load is open-loop: requests are sent at their scheduled times, even while earlier ones are
/// unanswered. Latency is measured from the scheduled time, so that a stall shows in the
/// percentiles. Progress lines are printed to standard error.
///
/// Exit codes: 0 the load was sent; 1 --require-complete is given and a request was not complete; 2
/// no load was sent, or the results could not be written.
#[derive(Args, Debug)]
pub(crate) struct LoadArgs {
    /// An entry's address for callers; may be repeated, and requests are sent round-robin. If the
    /// address for operators is given too, ready entries are preferred, as behind a load balancer.
    #[arg(long, value_name = "IP:PORT[,IP:PORT]", required = true)]
    entry: Vec<EntrySpec>,
    /// The mean rate of requests; arrivals are a Poisson process.
    #[arg(long, default_value = "20/s")]
    rate: RequestRate,
    /// How long requests are sent.
    #[arg(long, value_parser = parse_duration, default_value = "10s")]
    duration: Duration,
    /// Work sent without an idempotency key; for a model service, give only its name; may be
    /// repeated.
    #[arg(long, value_name = "SERVICE[/OPERATION][*WEIGHT]")]
    work: Vec<WorkSpec>,
    /// Non-idempotent work, sent with an idempotency key; may be repeated.
    #[arg(long, value_name = "SERVICE/OPERATION[*WEIGHT]")]
    keyed: Vec<WorkSpec>,
    /// The share of requests that are keyed, if both --work and --keyed are given.
    #[arg(long, default_value = "20%")]
    keyed_share: Share,
    /// The share of keyed requests that two callers send at the same time with the same key.
    #[arg(long, default_value = "0%")]
    twin_share: Share,
    /// The maximum number of retries of a keyed request without a result.
    #[arg(long, default_value_t = 0)]
    keyed_retries: u32,
    /// A client account; may be repeated.
    #[arg(long, value_name = "NAME=CREDENTIAL[*WEIGHT]", required = true)]
    account: Vec<AccountSpec>,
    /// An account whose requests have emergency priority; may be repeated.
    #[arg(long, value_name = "NAME")]
    emergency_account: Vec<AccountId>,
    /// The deadline of each request.
    #[arg(long, value_parser = parse_duration, default_value = "10s")]
    deadline: Duration,
    /// The length of each model answer, in tokens.
    #[arg(long, default_value_t = 16)]
    tokens: u64,
    /// The number of different prompt prefixes.
    #[arg(long, default_value_t = 8)]
    prefixes: u32,
    /// The seed of the random arrival times and work.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A file to write the history to, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// The output format.
    #[arg(long, value_enum, default_value_t)]
    format: OutputFormat,
    /// Exit with 1 unless every request was complete.
    #[arg(long)]
    require_complete: bool,
    /// Print no progress lines.
    #[arg(long)]
    quiet: bool,
}

impl LoadArgs {
    /// Sends the load and prints the results.
    pub(crate) async fn run(self) -> Result<ExitCode, LoadError> {
        if self.work.is_empty() && self.keyed.is_empty() {
            return Err(LoadError::NoWork);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let writer = tokio::spawn(write_history(self.history.clone(), receiver));
        let stats = run_load(self.settings(), sender).await;
        if let Ok(written) = writer.await {
            written?;
        }
        let report = stats.report();
        match self.format {
            OutputFormat::Table => println!("{}", report.table()),
            OutputFormat::Json => println!("{}", json_text(&report)?),
        }
        let is_complete = stats.outcomes.count(CallerOutcome::Complete) == stats.outcomes.total();
        let is_failed = self.require_complete && !is_complete;
        Ok(ExitCode::from(u8::from(is_failed)))
    }

    fn settings(&self) -> LoadSettings {
        let arrivals = ArrivalSettings {
            rate: self.rate,
            duration: self.duration,
            work: self.work.clone(),
            keyed_work: self.keyed.clone(),
            keyed_share: self.keyed_share,
            duplicate_share: self.twin_share,
            accounts: self.account.clone(),
            emergency_accounts: self.emergency_account.clone(),
            prefixes: self.prefixes,
            seed: self.seed,
        };
        let call = CallSettings {
            entries: Balancer::new(self.entry.clone()),
            deadline: self.deadline,
            tokens: self.tokens,
        };
        LoadSettings {
            arrivals,
            call,
            keyed_retries: self.keyed_retries,
            has_progress: !self.quiet,
        }
    }
}

fn json_text<T>(report: &T) -> Result<String, LoadError>
where
    T: serde::Serialize,
{
    let text = serde_json::to_string_pretty(report);
    text.map_err(|error| LoadError::Results {
        reason: error.to_string(),
    })
}

async fn write_history(
    path: Option<PathBuf>,
    mut invocations: mpsc::UnboundedReceiver<Invocation>,
) -> Result<(), LoadError> {
    let Some(path) = path else {
        return Ok(());
    };
    let history_error = |reason: String| LoadError::History {
        path: path.clone(),
        reason,
    };
    let created = std::fs::File::create(&path);
    let file = created.map_err(|error| history_error(error.to_string()))?;
    let mut writer = BufWriter::new(file);
    while let Some(invocation) = invocations.recv().await {
        let line = serde_json::to_string(&invocation);
        let line = line.map_err(|error| history_error(error.to_string()))?;
        let written = writeln!(writer, "{line}");
        written.map_err(|error| history_error(error.to_string()))?;
    }
    let flushed = writer.flush();
    flushed.map_err(|error| history_error(error.to_string()))
}
