//! `beryltray experiment`: compares policies with simple baselines on load generated from a seed.
//!
//! The experiments are simulations that run the library's state machines on simulated time.

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

/// The experiment to run.
#[derive(Clone, Debug, Subcommand)]
pub(crate) enum ExperimentCommand {
    /// State exchange between entries: bytes, CPU time and memory of one entry.
    Exchange(ExperimentArgs),
    /// Admission at one entry: capacity share by account and queue wait by priority.
    Admission(ExperimentArgs),
    /// Account limits across entries: admitted rate relative to the limit.
    Limits(ExperimentArgs),
    /// Retries and hedges: goodput and sends per request in a brown-out, a slowdown and an outage.
    Retries(ExperimentArgs),
    /// Placement of replica groups: group downtime and stranded hosts under generated failures.
    Placement(ExperimentArgs),
    /// Choice of targets: time to first token, cache hits and late answers.
    Routing(ExperimentArgs),
    /// Relay to other data centres while one has too few targets.
    Spill(ExperimentArgs),
}

/// Options of all experiments.
#[derive(Args, Clone, Debug)]
pub(crate) struct ExperimentArgs {
    /// Seed of the generated load; the same seed generates the same load.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Output format.
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
