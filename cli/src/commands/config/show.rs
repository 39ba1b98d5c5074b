//! `beryltray config show`: prints a version of the document.

use std::process::ExitCode;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::version::parse::parse_document;
use beryltray_lib::version::write::write_document;
use clap::Args;
use serde::Serialize;

use super::ConfigError;
use super::options::EnvironmentOptions;
use super::report::print_json;
use super::report::resolve_version;
use crate::commands::load::Format;

/// Prints a version of the document.
///
/// The document goes to the standard output as it was applied, comments included, so that it can be
/// kept in a file, changed and applied. Its version, author and time go to the standard error.
///
/// Exit codes: 0 printed; 1 the platform failed; 2 no such version.
#[derive(Args, Debug)]
pub(crate) struct ShowArgs {
    #[command(flatten)]
    environment: EnvironmentOptions,
    /// The version; the latest one without this.
    #[arg(long, value_name = "NUMBER")]
    version: Option<DocumentVersion>,
    /// Print every key with its value in force, defaults included, in place of the text as applied.
    #[arg(long)]
    canonical: bool,
    /// The form of the result.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// A version and its text.
#[derive(Debug, Serialize)]
struct ShownVersion {
    #[serde(flatten)]
    row: HeadRow,
    text: String,
}

impl ShowArgs {
    /// Prints the version.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        let versions = self.environment.versions();
        let row = resolve_version(&versions, self.version).await?;
        let mut text = versions.text(&row.digest).await?;
        if self.canonical {
            text = write_document(&parse_document(&text)?);
        }
        match self.format {
            Format::Json => print_json(&ShownVersion { row, text })?,
            Format::Table => {
                eprintln!(
                    "version {} by {}, digest {}",
                    row.version, row.author, row.digest
                );
                print!("{text}");
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
