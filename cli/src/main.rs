//! The `beryltray` binary: the entry daemon, the operators' commands and the stand-in services.

mod commands;
mod entry_client;
mod load;
mod logging;

use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use self::commands::Command;

/// Serves language models whose replicas span several hosts.
#[derive(Debug, Parser)]
#[command(name = "beryltray", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let _log_guard = logging::start(cli.command.is_daemon());
    let runtime = match build_runtime(cli.command.is_daemon()) {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "beryltray: can't start the async runtime: {error}. Hint: check the limits on threads"
            );
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(cli.command.run()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("beryltray: {error}");
            error.exit_code()
        }
    }
}

/// Builds the async runtime of a command.
///
/// A daemon gets a single thread: entry hosts have a fraction of a core, and one thread keeps context
/// switches to a minimum.
fn build_runtime(is_daemon: bool) -> std::io::Result<Runtime> {
    let mut builder = if is_daemon {
        Builder::new_current_thread()
    } else {
        Builder::new_multi_thread()
    };
    builder.enable_all().build()
}
