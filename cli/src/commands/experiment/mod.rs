//! `beryltray experiment`: measures a policy beside its plain baselines, from a seed.
//!
//! The experiments drive the library's own machines on a clock that the event loop moves.

mod engine;
mod placement;
mod placement_trace;
mod report;
mod routing;
mod routing_entry;
mod simulation;

use std::process::ExitCode;

use clap::Args;
use clap::Subcommand;

use self::report::Format;
use self::report::Report;

/// Which policy to measure.
#[derive(Clone, Debug, Subcommand)]
pub(crate) enum ExperimentCommand {
    /// The placement of groups: group downtime and stranded hosts over generated failures.
    Placement(ExperimentArgs),
    /// The choice of targets: time to first token, cache hits and late answers.
    Routing(ExperimentArgs),
}

/// Options of every experiment.
#[derive(Args, Clone, Debug)]
pub(crate) struct ExperimentArgs {
    /// The seed of the generated load.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// How the result is printed.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}

impl ExperimentCommand {
    /// Runs the experiment and prints its report.
    pub(crate) fn run(&self) -> ExitCode {
        let (args, measure): (&ExperimentArgs, fn(u64) -> Report) = match self {
            Self::Placement(args) => (args, placement::measure),
            Self::Routing(args) => (args, routing::measure),
        };
        println!("{}", measure(args.seed).render(args.format));
        ExitCode::SUCCESS
    }
}
