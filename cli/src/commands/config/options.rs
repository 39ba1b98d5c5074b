//! Options and helpers that the `config` subcommands share.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::EnvironmentId;
use beryltray_lib::platform::HostList;
use beryltray_lib::platform::http::HttpPlatform;
use beryltray_lib::units::parse_duration;
use beryltray_lib::version::document::Document;
use beryltray_lib::version::parse::parse_document_file;
use beryltray_lib::version::placement_check::placement_problems;
use beryltray_lib::version::store::VersionStore;
use clap::Args;

use super::ConfigError;

/// The platform client of the `config` subcommands.
pub(crate) type Platform = HttpPlatform<SystemClock>;

/// Options for connecting to the platform.
#[derive(Args, Clone, Debug)]
pub(crate) struct PlatformOptions {
    /// The address of the platform.
    #[arg(long, value_name = "IP:PORT", env = "BERYLTRAY_PLATFORM")]
    pub(crate) platform: SocketAddr,
    /// The timeout of one call to the platform.
    #[arg(long, value_parser = parse_duration, default_value = "5s")]
    pub(crate) platform_timeout: Duration,
}

impl PlatformOptions {
    /// Creates a client; no connection is opened before the first call.
    pub(crate) fn client(&self) -> Platform {
        HttpPlatform::new(self.platform, self.platform_timeout, SystemClock)
    }

    /// Returns the version store of `environment`.
    pub(crate) fn versions(&self, environment: &EnvironmentId) -> VersionStore<Platform> {
        VersionStore::new(self.client(), environment.clone())
    }
}

/// Options that select an environment.
#[derive(Args, Clone, Debug)]
pub(crate) struct EnvironmentOptions {
    #[command(flatten)]
    pub(crate) platform: PlatformOptions,
    /// The name of the environment.
    #[arg(long, value_name = "NAME", env = "BERYLTRAY_ENVIRONMENT")]
    pub(crate) environment: EnvironmentId,
}

impl EnvironmentOptions {
    /// Returns the version store of the selected environment.
    pub(crate) fn versions(&self) -> VersionStore<Platform> {
        self.platform.versions(&self.environment)
    }
}

/// Reads a UTF-8 text file.
pub(crate) fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::File {
        path: PathBuf::from(path),
        source,
    })
}

/// Reads and parses a document; returns its text too.
pub(crate) fn read_document(path: &Path) -> Result<(String, Document), ConfigError> {
    let text = read_file(path)?;
    let document = parse_document_file(&path.display().to_string(), &text)?;
    Ok((text, document))
}

/// Checks that the replicas of `document` fit on the platform's live hosts.
pub(crate) async fn check_hosts(
    platform: &Platform,
    document: &Document,
) -> Result<(), ConfigError> {
    let hosts = platform.hosts().await?;
    let problems = placement_problems(document, &hosts);
    if problems.is_empty() {
        return Ok(());
    }
    Err(ConfigError::Placement { problems })
}
