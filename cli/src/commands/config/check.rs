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
/// Every fault is printed with its file, line and key, what was expected, and a hint. With
/// --platform, it is also checked that the replicas fit on the platform's live hosts.
///
/// All documents are checked, whatever is wrong with one of them.
///
/// Exit codes: 0 no fault; 1 the platform failed; 2 a fault, or a document that can't be placed; the
/// last document with a fault decides.
#[derive(Args, Debug)]
pub(crate) struct CheckArgs {
    /// The documents.
    #[arg(value_name = "FILE", required = true)]
    files: Vec<PathBuf>,
    /// The platform's address, to check that the replicas fit on its hosts.
    #[arg(long, value_name = "IP:PORT")]
    platform: Option<SocketAddr>,
    /// How long one call to the platform may take.
    #[arg(long, value_parser = parse_duration, default_value = "5s")]
    platform_timeout: Duration,
}

impl CheckArgs {
    /// Checks the documents in the order in which they were given.
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

/// Checks one document and says so if it has no fault.
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
