//! The commands, one file each.

mod check_history;
mod entry;
mod experiment;
mod load;
mod stand_in;

use std::process::ExitCode;

use clap::Subcommand;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// The exit code of a command that was asked for something that can't be done.
const EXIT_CODE_USAGE: u8 = 2;

/// What `beryltray` is asked to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks the promises over what a trial recorded.
    CheckHistory(check_history::CheckHistoryArgs),
    /// Runs an entry: the daemon that answers callers and routes their requests.
    Entry(entry::EntryArgs),
    /// Measures a policy beside its plain baselines.
    #[command(subcommand)]
    Experiment(experiment::ExperimentCommand),
    /// Sends requests at a given rate and counts what becomes of them.
    Load(load::LoadArgs),
    /// Runs a small stand-in for an outer service, for trials and tests.
    #[command(subcommand)]
    StandIn(stand_in::StandInCommand),
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// A history was not checked.
    CheckHistory(check_history::CheckHistoryError),
    /// An entry did not run.
    Entry(entry::EntryCommandError),
    /// The load was not sent.
    Load(load::LoadError),
    /// A stand-in did not run.
    StandIn(stand_in::StandInError),
}

impl CommandError {
    /// Returns the exit code that the command ends with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(EXIT_CODE_USAGE)
    }
}

impl Command {
    /// Runs the command to its end.
    pub(crate) async fn run(self) -> Result<ExitCode, CommandError> {
        match self {
            Self::CheckHistory(args) => Ok(args.run()?),
            Self::Entry(args) => Ok(args.run().await?),
            Self::Experiment(command) => Ok(command.run()),
            Self::Load(args) => Ok(args.run().await?),
            Self::StandIn(command) => Ok(command.run().await?),
        }
    }
}
