//! `beryltray config promote`: makes another environment's document the next version.

use std::process::ExitCode;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EnvironmentId;
use clap::Args;

use super::ConfigError;
use super::apply::ChangeOptions;
use super::options::EnvironmentOptions;
use super::options::PlatformOptions;
use super::report::resolve_version;

/// Makes another environment's document the next version of an environment.
///
/// The same bytes are moved, by their digest, so that what was tried is what runs. --base names the
/// version of the environment after --to that is to be replaced.
///
/// Exit codes: as for `config apply`.
#[derive(Args, Debug)]
pub(crate) struct PromoteArgs {
    /// The environment where the document was tried.
    #[arg(long, value_name = "NAME")]
    from: EnvironmentId,
    /// The version there; the latest one without this.
    #[arg(long, value_name = "NUMBER")]
    version: Option<DocumentVersion>,
    /// The environment that gets the document.
    #[arg(long, value_name = "NAME")]
    to: EnvironmentId,
    #[command(flatten)]
    platform: PlatformOptions,
    #[command(flatten)]
    change: ChangeOptions,
}

impl PromoteArgs {
    /// Promotes the document.
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
