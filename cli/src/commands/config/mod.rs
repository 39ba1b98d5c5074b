//! `beryltray config`: reads, checks and changes the document of an environment.

mod apply;
mod check;
mod diff;
mod entries;
mod error;
mod history;
mod options;
mod promote;
mod report;
mod show;

use std::process::ExitCode;

use clap::Subcommand;

pub(crate) use error::ConfigError;

/// The change was refused because its base is no longer the latest version.
const EXIT_CODE_CONFLICT: u8 = 3;
/// The change was accepted, but is not confirmed to be in force on every entry.
const EXIT_CODE_NOT_EVERYWHERE: u8 = 4;

/// Reads, checks and changes an environment's document.
///
/// An environment is configured by one INI document. The document contains no address, data centre or
/// environment name, so that the same bytes can be tested in one environment and promoted to
/// another. Each accepted change is a new version; to restore an earlier version, apply it again as a
/// new one.
///
/// Exit codes of all these commands: 0 done; 1 the platform or an entry failed; 2 the document or the
/// command line is invalid; 3 conflict with another change, nothing was changed; 4 accepted, but not
/// confirmed to be in force on every entry.
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    Check(check::CheckArgs),
    Show(show::ShowArgs),
    Diff(diff::DiffArgs),
    Apply(apply::ApplyArgs),
    Promote(promote::PromoteArgs),
    History(history::HistoryArgs),
}

impl ConfigCommand {
    /// Runs the command and returns the exit code of the process.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        match self {
            Self::Check(args) => args.run().await,
            Self::Show(args) => args.run().await,
            Self::Diff(args) => args.run().await,
            Self::Apply(args) => args.run().await,
            Self::Promote(args) => args.run().await,
            Self::History(args) => args.run().await,
        }
    }
}
