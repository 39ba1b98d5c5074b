//! `beryltray check-history`: checks the promises over what a trial recorded.

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

/// The most violations of one promise that are printed.
const PRINTED_VIOLATIONS: usize = 10;

/// Why a history was not checked.
#[derive(Debug, Display, Error)]
pub(crate) enum CheckHistoryError {
    /// A file can't be read.
    #[display("can't read {}: {reason}. Hint: check the path", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        reason: String,
    },
    /// A file does not hold what it should.
    #[display("{}, line {line}: {reason}. Hint: was it written by a trial?", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// What is wrong.
        reason: String,
    },
}

/// Checks the promises over what a trial recorded.
///
/// The callers' history is held against the truths that the stand-ins kept: what ran, in which group
/// and generation, and what the table committed. Each promise is printed with the number of checked
/// operations and its violations.
///
/// Exit codes: 0 without a violation, 1 with one, 2 if a file can't be read.
#[derive(Args, Debug)]
pub(crate) struct CheckHistoryArgs {
    /// A history that `load` wrote; may be repeated.
    #[arg(long, value_name = "FILE", required = true)]
    history: Vec<PathBuf>,
    /// The truth of an engine's stand-in; may be repeated.
    #[arg(long, value_name = "FILE")]
    engine: Vec<PathBuf>,
    /// The truth of a plain service's stand-in; may be repeated.
    #[arg(long, value_name = "FILE")]
    plain: Vec<PathBuf>,
    /// The truth of the platform's stand-in.
    #[arg(long, value_name = "FILE")]
    platform: Option<PathBuf>,
    /// The versions that entries said were in force, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    versions: Option<PathBuf>,
    /// The faults and their times, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    faults: Option<PathBuf>,
    /// How long a member may be missing before requests must stop.
    #[arg(long, value_parser = parse_duration, default_value = "3s")]
    presence_bound: Duration,
    /// How long after a target's mark as leaving requests must stop.
    #[arg(long, value_parser = parse_duration, default_value = "5s")]
    leaving_bound: Duration,
}

impl CheckHistoryArgs {
    /// Prints each promise with its checked operations and violations.
    ///
    /// Ends with 1 if a promise was broken.
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
        let is_broken = verdicts
            .iter()
            .any(|verdict| !verdict.violations.is_empty());
        Ok(ExitCode::from(u8::from(is_broken)))
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
            let truths = read_lines(path)?;
            history.platform = truths.into_iter().next().unwrap_or_default();
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
