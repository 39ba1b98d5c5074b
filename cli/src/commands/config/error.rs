//! Why a command on documents failed, and its exit code.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EnvironmentId;
use beryltray_lib::platform::PlatformError;
use beryltray_lib::version::parse::DocumentErrors;
use beryltray_lib::version::placement_check::PlacementProblem;
use beryltray_lib::version::store::VersionStoreError;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// The platform or an entry failed.
const EXIT_CODE_FAILURE: u8 = 1;
/// The document or the command line holds a fault.
const EXIT_CODE_BAD_INPUT: u8 = 2;

/// Why a command on documents failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConfigError {
    /// A file can't be read.
    #[display("can't read {}: {source}. Hint: check the path", path.display())]
    #[from(skip)]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The document holds faults.
    #[display("the document holds {} faults:\n{_0}", _0.errors.len())]
    Document(DocumentErrors),
    /// The document can't be placed on the platform's hosts.
    #[display(
        "the document can't be placed on the platform's hosts:\n{}\nHint: --without-host-check \
         accepts it all the same",
        joined(problems)
    )]
    #[from(skip)]
    Placement {
        /// Why not.
        problems: Vec<PlacementProblem>,
    },
    /// The environment has no such version.
    #[display(
        "environment {environment} has no version {version}. \
         Hint: `beryltray config history` lists the versions"
    )]
    #[from(skip)]
    NoVersion {
        /// The environment.
        environment: EnvironmentId,
        /// The version.
        version: DocumentVersion,
    },
    /// The environment has no document.
    #[display(
        "environment {environment} has no document yet. \
         Hint: `beryltray config apply FILE --base 0` makes the first version"
    )]
    #[from(skip)]
    NoDocument {
        /// The environment.
        environment: EnvironmentId,
    },
    /// An entry serves another environment.
    #[display(
        "the entry at {address} serves environment {found}, not {expected}. \
         Hint: give the addresses of entries of {expected} after --entry"
    )]
    #[from(skip)]
    OtherEnvironment {
        /// The entry's address.
        address: SocketAddr,
        /// The environment that it serves.
        found: EnvironmentId,
        /// The environment that was meant.
        expected: EnvironmentId,
    },
    /// The versions on the platform can't be read.
    Store(VersionStoreError),
    /// The platform failed.
    Platform(PlatformError),
    /// The result can't be written as JSON.
    #[display("can't write the result as JSON: {_0}. Hint: leave --format out")]
    Json(serde_json::Error),
}

impl ConfigError {
    /// Returns the exit code that the command ends with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let is_failure = matches!(self, Self::Store(_) | Self::Platform(_) | Self::Json(_));
        let code = if is_failure {
            EXIT_CODE_FAILURE
        } else {
            EXIT_CODE_BAD_INPUT
        };
        ExitCode::from(code)
    }
}

fn joined(problems: &[PlacementProblem]) -> String {
    let lines = problems.iter().map(PlacementProblem::to_string);
    lines.collect::<Vec<_>>().join("\n")
}
