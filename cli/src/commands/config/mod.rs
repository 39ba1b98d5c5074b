//! `beryltray config`: the environment's document, read, checked and changed.

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

/// A change was refused, since another one came first.
const EXIT_CODE_CONFLICT: u8 = 3;
/// A change was accepted, but some entry was not heard to have it in force.
const EXIT_CODE_NOT_EVERYWHERE: u8 = 4;

/// Reads, checks and changes an environment's document.
///
/// An environment runs by one INI document, which names no address, data centre or environment, so
/// that the same bytes are tried in one environment and promoted to another. Each accepted change
/// is a new version; an earlier one is brought back by applying it again as a new version.
///
/// Exit codes of all these commands: 0 done; 1 the platform or an entry failed; 2 the document or
/// the command line holds a fault; 3 another change came first, and nothing was changed; 4 accepted,
/// but not every entry was heard to have it in force.
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
    /// Runs the command.
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
