//! The `beryltray` command: the daemon, the operators' commands and the stand-ins in one binary.

mod commands;

use std::process::ExitCode;

use clap::Parser;

use self::commands::Command;

/// The log level without `RUST_LOG`.
const DEFAULT_LOG_FILTER: &str = "info";

/// Serves language models whose replicas span several hosts.
#[derive(Debug, Parser)]
#[command(name = "beryltray", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[tokio::main]
async fn main() -> ExitCode {
    let environment = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    env_logger::Builder::from_env(environment).init();
    match Cli::parse().command.run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("beryltray: {error}");
            error.exit_code()
        }
    }
}
