//! `beryltray experiment`: measures a policy beside its plain baselines, from a seed.
//!
//! The experiments drive the library's own machines on a clock that the event loop moves.

mod admission;
mod admission_request;
mod engine;
mod exchange;
mod limits;
mod placement;
mod placement_trace;
mod report;
mod retries;
mod retry_model;
mod retry_policy;
mod routing;
mod routing_entry;
mod simulation;
mod spill;

use std::process::ExitCode;

use clap::Args;
use clap::Subcommand;

use self::report::Format;
use self::report::Report;

/// Which policy to measure.
#[derive(Clone, Debug, Subcommand)]
pub(crate) enum ExperimentCommand {
    /// The state exchange between entries: bytes, processor time and memory of a node.
    Exchange(ExperimentArgs),
    /// The admission at one entry: shares of accounts and wait by class.
    Admission(ExperimentArgs),
    /// The accounts' limits across entries: what is admitted above and below them.
    Limits(ExperimentArgs),
    /// Further tries: goodput and amplification through a brown-out and an outage.
    Retries(ExperimentArgs),
    /// The placement of groups: group downtime and stranded hosts over generated failures.
    Placement(ExperimentArgs),
    /// The choice of targets: time to first token, cache hits and late answers.
    Routing(ExperimentArgs),
    /// The relay to other data centres while one is short of targets.
    Spill(ExperimentArgs),
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
            Self::Exchange(args) => (args, exchange::measure),
            Self::Admission(args) => (args, admission::measure),
            Self::Limits(args) => (args, limits::measure),
            Self::Retries(args) => (args, retries::measure),
            Self::Placement(args) => (args, placement::measure),
            Self::Routing(args) => (args, routing::measure),
            Self::Spill(args) => (args, spill::measure),
        };
        println!("{}", measure(args.seed).render(args.format));
        ExitCode::SUCCESS
    }
}
