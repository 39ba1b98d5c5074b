//! The `beryltray` command: the daemon, the operators' commands and the stand-ins in one binary.

mod commands;
mod entry_client;
mod load;

use std::process::ExitCode;

use clap::Parser;

use self::commands::Command;

/// What is logged without `RUST_LOG`; the level that the settings name bounds it further.
const DEFAULT_LOG_FILTER: &str =
    "warn,beryltray=trace,beryltray_lib=trace,beryltray_stand_ins=trace";

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
    if std::env::var_os(env_logger::DEFAULT_FILTER_ENV).is_none() {
        log::set_max_level(log::LevelFilter::Info);
    }
    match Cli::parse().command.run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("beryltray: {error}");
            error.exit_code()
        }
    }
}
