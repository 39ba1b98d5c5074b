//! The commands, one file each.

mod check_history;
mod config;
mod demo;
mod entry;
mod experiment;
mod load;
mod stand_in;
mod status;

use std::process::ExitCode;

use clap::Subcommand;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// The exit code of a command that was asked for something that can't be done.
const EXIT_CODE_USAGE: u8 = 2;

/// What `beryltray` is asked to do; a command's help is the doc comment of its arguments.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks, compares and changes an environment's document.
    #[command(subcommand)]
    Config(config::ConfigCommand),
    CheckHistory(check_history::CheckHistoryArgs),
    Demo(demo::DemoArgs),
    Entry(entry::EntryArgs),
    /// Measures a policy beside its plain baselines.
    #[command(subcommand)]
    Experiment(experiment::ExperimentCommand),
    Load(load::LoadArgs),
    /// Runs a small stand-in for an outer service, for trials and tests.
    #[command(subcommand)]
    StandIn(stand_in::StandInCommand),
    Status(status::StatusArgs),
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// A command on documents failed.
    Config(config::ConfigError),
    /// A history was not checked.
    CheckHistory(check_history::CheckHistoryError),
    /// The demo did not run.
    Demo(demo::DemoError),
    /// An entry did not run.
    Entry(entry::EntryCommandError),
    /// The load was not sent.
    Load(load::LoadError),
    /// A stand-in did not run.
    StandIn(stand_in::StandInError),
    /// The statuses were not shown.
    Status(status::StatusCommandError),
}

impl CommandError {
    /// Returns the exit code that the command ends with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Config(error) => error.exit_code(),
            _ => ExitCode::from(EXIT_CODE_USAGE),
        }
    }
}

impl Command {
    /// Returns whether the command serves until it is told to end.
    pub(crate) fn is_daemon(&self) -> bool {
        matches!(self, Self::Entry(_))
    }

    /// Runs the command to its end.
    pub(crate) async fn run(self) -> Result<ExitCode, CommandError> {
        match self {
            Self::Config(command) => Ok(command.run().await?),
            Self::CheckHistory(args) => Ok(args.run()?),
            Self::Demo(args) => Ok(args.run().await?),
            Self::Entry(args) => Ok(args.run().await?),
            Self::Experiment(command) => Ok(command.run()),
            Self::Load(args) => Ok(args.run().await?),
            Self::StandIn(command) => Ok(command.run().await?),
            Self::Status(args) => Ok(args.run().await?),
        }
    }
}
