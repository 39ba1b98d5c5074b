//! Options that several commands on documents share.

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

/// The platform over HTTP with the system's clock.
pub(crate) type Platform = HttpPlatform<SystemClock>;

/// Where the platform is.
#[derive(Args, Clone, Debug)]
pub(crate) struct PlatformOptions {
    /// The platform's address.
    #[arg(long, value_name = "IP:PORT", env = "BERYLTRAY_PLATFORM")]
    pub(crate) platform: SocketAddr,
    /// How long one call to the platform may take.
    #[arg(long, value_parser = parse_duration, default_value = "5s")]
    pub(crate) platform_timeout: Duration,
}

impl PlatformOptions {
    /// Returns a client of the platform.
    pub(crate) fn client(&self) -> Platform {
        HttpPlatform::new(self.platform, self.platform_timeout, SystemClock)
    }

    /// Returns the versions of an environment.
    pub(crate) fn versions(&self, environment: &EnvironmentId) -> VersionStore<Platform> {
        VersionStore::new(self.client(), environment.clone())
    }
}

/// Which environment is meant.
#[derive(Args, Clone, Debug)]
pub(crate) struct EnvironmentOptions {
    #[command(flatten)]
    pub(crate) platform: PlatformOptions,
    /// The environment.
    #[arg(long, value_name = "NAME", env = "BERYLTRAY_ENVIRONMENT")]
    pub(crate) environment: EnvironmentId,
}

impl EnvironmentOptions {
    /// Returns the versions of the environment.
    pub(crate) fn versions(&self) -> VersionStore<Platform> {
        self.platform.versions(&self.environment)
    }
}

/// Reads a file's text.
pub(crate) fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::File {
        path: PathBuf::from(path),
        source,
    })
}

/// Reads a document's text and checks it.
pub(crate) fn read_document(path: &Path) -> Result<(String, Document), ConfigError> {
    let text = read_file(path)?;
    let document = parse_document_file(&path.display().to_string(), &text)?;
    Ok((text, document))
}

/// Checks that a document can be placed on the platform's hosts.
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
