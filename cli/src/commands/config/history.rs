//! `beryltray config history`: lists the versions of an environment.

use std::process::ExitCode;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use beryltray_lib::platform::rows::HeadRow;
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;

use super::ConfigError;
use super::options::EnvironmentOptions;
use super::report::print_json;
use crate::commands::load::OutputFormat;

/// The number of leading digits of a digest in the table; enough to tell versions apart.
const DIGEST_SHOWN_DIGITS: usize = 12;

/// Lists the latest versions of an environment, the newest one last.
///
/// Version numbers only grow. To undo a change, apply the text of an earlier version as a new
/// version: `config apply --earlier NUMBER`.
///
/// Exit codes: 0 listed; 1 the platform failed; 2 the command line is invalid.
#[derive(Args, Debug)]
pub(crate) struct HistoryArgs {
    #[command(flatten)]
    environment: EnvironmentOptions,
    /// The maximum number of versions to list.
    #[arg(long, value_name = "NUMBER", default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=1000))]
    last: u64,
    /// The output format.
    #[arg(long, value_enum, default_value_t)]
    format: OutputFormat,
}

impl HistoryArgs {
    /// Prints the versions.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        let versions = self
            .environment
            .versions()
            .latest_versions(self.last)
            .await?;
        let rows = versions
            .into_iter()
            .map(|version| version.row)
            .collect::<Vec<_>>();
        match self.format {
            OutputFormat::Json => print_json(&rows)?,
            OutputFormat::Table if rows.is_empty() => println!("no version yet"),
            OutputFormat::Table => println!("{}", table(&rows)),
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn table(rows: &[HeadRow]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(["VERSION", "MADE ON", "ACCEPTED", "AUTHOR", "DIGEST"]);
    for row in rows {
        let accepted_at = UNIX_EPOCH + Duration::from_secs(row.accepted_unix_s);
        let digest = row.digest.as_str();
        table.add_row([
            row.version.to_string(),
            row.base.to_string(),
            humantime::format_rfc3339_seconds(accepted_at).to_string(),
            row.author.clone(),
            digest
                .get(..DIGEST_SHOWN_DIGITS)
                .unwrap_or(digest)
                .to_owned(),
        ]);
    }
    table
}
