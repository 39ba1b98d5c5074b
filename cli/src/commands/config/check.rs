//! `beryltray config check`: checks documents without changing anything.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use beryltray_lib::units::parse_duration;
use clap::Args;

use super::ConfigError;
use super::options::Platform;
use super::options::PlatformOptions;
use super::options::check_hosts;
use super::options::read_document;

/// Checks documents without changing anything.
///
/// Every error is printed with its file, line and key, the expected value, and a hint. With
/// --platform, the command also checks that the replicas fit on the platform's live hosts.
///
/// All documents are checked, even after one of them has failed.
///
/// Exit codes: 0 no error; 1 the platform failed; 2 a document is invalid or can't be placed. If
/// several documents fail, the last one determines the exit code.
#[derive(Args, Debug)]
pub(crate) struct CheckArgs {
    /// The documents to check.
    #[arg(value_name = "FILE", required = true)]
    files: Vec<PathBuf>,
    /// The platform's address, to check that the replicas fit on its hosts.
    #[arg(long, value_name = "IP:PORT")]
    platform: Option<SocketAddr>,
    /// The timeout of one call to the platform.
    #[arg(long, value_parser = parse_duration, default_value = "5s")]
    platform_timeout: Duration,
}

impl CheckArgs {
    /// Checks the documents in the given order.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        let platform = self.platform.map(|platform| PlatformOptions {
            platform,
            platform_timeout: self.platform_timeout,
        });
        let platform = platform.map(|options| options.client());
        let mut exit_code = ExitCode::SUCCESS;
        for path in &self.files {
            if let Err(error) = check_file(path, platform.as_ref()).await {
                eprintln!("beryltray: {error}");
                exit_code = error.exit_code();
            }
        }
        Ok(exit_code)
    }
}

/// Checks one document and prints a summary if it is valid.
async fn check_file(path: &Path, platform: Option<&Platform>) -> Result<(), ConfigError> {
    let (_, document) = read_document(path)?;
    if let Some(platform) = platform {
        check_hosts(platform, &document).await?;
    }
    println!(
        "{}: no fault; {} services, {} client accounts",
        path.display(),
        document.services.len(),
        document.accounts.len()
    );
    Ok(())
}
