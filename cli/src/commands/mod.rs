//! The commands, one file each.

mod experiment;
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
    /// Measures a policy beside its plain baselines.
    #[command(subcommand)]
    Experiment(experiment::ExperimentCommand),
    /// Runs a small stand-in for an outer service, for trials and tests.
    #[command(subcommand)]
    StandIn(stand_in::StandInCommand),
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
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
            Self::Experiment(command) => Ok(command.run()),
            Self::StandIn(command) => Ok(command.run().await?),
        }
    }
}
