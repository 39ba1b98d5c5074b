//! `beryltray config promote`: applies a document of another environment.

use std::process::ExitCode;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EnvironmentId;
use clap::Args;

use super::ConfigError;
use super::apply::ChangeOptions;
use super::options::EnvironmentOptions;
use super::options::PlatformOptions;
use super::report::resolve_version;

/// Applies the document of one environment as the next version of another environment.
///
/// The document is copied byte for byte, by its digest, so that the tested document is the one that
/// runs. --base names the version of the --to environment that is replaced.
///
/// Exit codes: as for `config apply`.
#[derive(Args, Debug)]
pub(crate) struct PromoteArgs {
    /// The environment to copy the document from.
    #[arg(long, value_name = "NAME")]
    from: EnvironmentId,
    /// The version in the --from environment; defaults to the latest one.
    #[arg(long, value_name = "NUMBER")]
    version: Option<DocumentVersion>,
    /// The environment to apply the document to.
    #[arg(long, value_name = "NAME")]
    to: EnvironmentId,
    #[command(flatten)]
    platform: PlatformOptions,
    #[command(flatten)]
    change: ChangeOptions,
}

impl PromoteArgs {
    /// Copies the document and prints the outcome.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        let source = self.platform.versions(&self.from);
        let row = resolve_version(&source, self.version).await?;
        let text = source.text(&row.digest).await?;
        let target = EnvironmentOptions {
            platform: self.platform,
            environment: self.to,
        };
        self.change.run(&target, &text).await
    }
}
