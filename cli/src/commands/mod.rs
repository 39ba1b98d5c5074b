//! The subcommands, one module each.

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

/// The exit code of a command whose arguments or input files can't be used.
const EXIT_CODE_USAGE: u8 = 2;

/// The subcommands; the help text of each is the doc comment of its arguments.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks, compares and changes an environment's document.
    #[command(subcommand)]
    Config(config::ConfigCommand),
    CheckHistory(check_history::CheckHistoryArgs),
    Demo(demo::DemoArgs),
    Entry(entry::EntryArgs),
    /// Measures a policy against simple baselines.
    #[command(subcommand)]
    Experiment(experiment::ExperimentCommand),
    Load(load::LoadArgs),
    /// Runs a stand-in for an external service, for trials and tests.
    #[command(subcommand)]
    StandIn(stand_in::StandInCommand),
    Status(status::StatusArgs),
}

/// The failure of a command, by subcommand.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// A `config` subcommand failed.
    Config(config::ConfigError),
    /// The recorded files could not be read.
    CheckHistory(check_history::CheckHistoryError),
    /// The demo did not start.
    Demo(demo::DemoError),
    /// The entry did not start, or failed while running.
    Entry(entry::EntryCommandError),
    /// No load was sent, or its results could not be written.
    Load(load::LoadError),
    /// The stand-in did not start.
    StandIn(stand_in::StandInError),
    /// The statuses could not be printed.
    Status(status::StatusCommandError),
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Config(error) => error.exit_code(),
            _ => ExitCode::from(EXIT_CODE_USAGE),
        }
    }
}

impl Command {
    /// Returns whether the command serves until a signal stops it.
    pub(crate) fn is_daemon(&self) -> bool {
        matches!(self, Self::Entry(_))
    }

    /// Runs the command and returns the exit code of the process.
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
