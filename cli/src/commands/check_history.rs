//! `beryltray check-history`: checks the recorded history of a trial against the promises.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use beryltray_lib::units::parse_duration;
use beryltray_testutils::history::Bounds;
use beryltray_testutils::history::History;
use beryltray_testutils::history::Verdict;
use beryltray_testutils::history::recovery::InjectedFault;
use beryltray_testutils::history::recovery::recoveries;
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use derive_more::Display;
use derive_more::Error;
use serde::de::DeserializeOwned;

/// The maximum number of violations printed for each promise.
const PRINTED_VIOLATIONS: usize = 10;

/// Why the recorded files could not be read.
#[derive(Debug, Display, Error)]
pub(crate) enum CheckHistoryError {
    /// Reading a file failed.
    #[display("can't read {}: {reason}. Hint: check the path", path.display())]
    File {
        /// The path as given on the command line.
        path: PathBuf,
        /// The error of the operating system.
        reason: String,
    },
    /// A line is not the expected JSON object.
    #[display("{}, line {line}: {reason}. Hint: check that a trial wrote this file", path.display())]
    Content {
        /// The path as given on the command line.
        path: PathBuf,
        /// The line number, from 1.
        line: usize,
        /// The parser's error.
        reason: String,
    },
}

/// Checks the recorded history of a trial against the promises.
///
/// The callers' history is compared with the records of the stand-ins: which work ran, in which group
/// and generation, and what the table committed. For each promise, the number of checked operations
/// and the violations are printed.
///
/// Exit codes: 0 no violation; 1 at least one violation; 2 a file can't be read.
#[derive(Args, Debug)]
pub(crate) struct CheckHistoryArgs {
    /// A history file written by `beryltray load`; may be repeated.
    #[arg(long, value_name = "FILE", required = true)]
    history: Vec<PathBuf>,
    /// The records of an engine stand-in; may be repeated.
    #[arg(long, value_name = "FILE")]
    engine: Vec<PathBuf>,
    /// The records of a plain service stand-in; may be repeated.
    #[arg(long, value_name = "FILE")]
    plain: Vec<PathBuf>,
    /// The records of the platform stand-in.
    #[arg(long, value_name = "FILE")]
    platform: Option<PathBuf>,
    /// The versions in force that entries reported, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    versions: Option<PathBuf>,
    /// The injected faults and their times, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    faults: Option<PathBuf>,
    /// The time within which requests to a group with a missing member must stop.
    #[arg(long, value_parser = parse_duration, default_value = "3s")]
    presence_bound: Duration,
    /// The time within which requests to a target marked as leaving must stop.
    #[arg(long, value_parser = parse_duration, default_value = "5s")]
    leaving_bound: Duration,
}

impl CheckHistoryArgs {
    /// Prints the result of each promise and, with `--faults`, the recovery after each fault.
    ///
    /// The exit code is 1 if there was a violation.
    pub(crate) fn run(self) -> Result<ExitCode, CheckHistoryError> {
        let history = self.read_history()?;
        let bounds = Bounds {
            presence: self.presence_bound,
            leaving: self.leaving_bound,
        };
        let verdicts = history.check(&bounds);
        println!("{}", verdict_table(&verdicts));
        for verdict in &verdicts {
            for violation in verdict.violations.iter().take(PRINTED_VIOLATIONS) {
                println!("broken: {}: {violation}", verdict.guarantee);
            }
        }
        if let Some(path) = &self.faults {
            let faults = read_lines::<InjectedFault>(path)?;
            println!("\n{}", recovery_table(&history, &faults));
        }
        let has_violation = verdicts
            .iter()
            .any(|verdict| !verdict.violations.is_empty());
        Ok(ExitCode::from(u8::from(has_violation)))
    }

    fn read_history(&self) -> Result<History, CheckHistoryError> {
        let mut history = History::default();
        for path in &self.history {
            history.invocations.extend(read_lines(path)?);
        }
        for path in &self.engine {
            history.engines.extend(read_lines(path)?);
        }
        for path in &self.plain {
            history.plains.extend(read_lines(path)?);
        }
        if let Some(path) = &self.platform {
            let records = read_lines(path)?;
            history.platform = records.into_iter().next().unwrap_or_default();
        }
        if let Some(path) = &self.versions {
            history.versions = read_lines(path)?;
        }
        Ok(history)
    }
}

fn read_lines<T>(path: &Path) -> Result<Vec<T>, CheckHistoryError>
where
    T: DeserializeOwned,
{
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|error| CheckHistoryError::File {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty());
    let parsed = lines.map(|(index, line)| {
        let parsed = serde_json::from_str(line);
        parsed.map_err(|error| CheckHistoryError::Content {
            path: path.to_owned(),
            line: index + 1,
            reason: error.to_string(),
        })
    });
    parsed.collect()
}

fn verdict_table(verdicts: &[Verdict]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(["promise", "checked", "violations"]);
    for verdict in verdicts {
        table.add_row([
            verdict.guarantee.to_string(),
            verdict.checked_operations.to_string(),
            verdict.violations.len().to_string(),
        ]);
    }
    table
}

fn recovery_table(history: &History, faults: &[InjectedFault]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(["fault", "requests", "without a result", "whole again after"]);
    for recovery in recoveries(&history.invocations, faults) {
        table.add_row([
            recovery.fault.clone(),
            recovery.requests.to_string(),
            recovery.incomplete_requests.to_string(),
            format!("{:.1} s", recovery.recovery_time.as_secs_f64()),
        ]);
    }
    table
}
