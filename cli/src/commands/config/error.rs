//! Errors of the `config` subcommands and their exit codes.

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

/// The platform failed, or the result could not be written.
const EXIT_CODE_FAILURE: u8 = 1;
/// The document or the command line is invalid.
const EXIT_CODE_BAD_INPUT: u8 = 2;

/// Why a `config` subcommand failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConfigError {
    /// Reading a file failed.
    #[display("can't read {}: {source}. Hint: check the path", path.display())]
    #[from(skip)]
    File {
        /// The path as given on the command line.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The document is invalid.
    #[display("the document has {} errors:\n{_0}", _0.errors.len())]
    Document(DocumentErrors),
    /// The replicas don't fit on the platform's live hosts.
    #[display(
        "the document can't be placed on the platform's hosts:\n{}\nHint: --without-host-check \
         skips this check",
        problem_lines(problems)
    )]
    #[from(skip)]
    Placement {
        /// The services that don't fit; never empty.
        problems: Vec<PlacementProblem>,
    },
    /// The environment has no version of this number.
    #[display(
        "environment {environment} has no version {version}. \
         Hint: `beryltray config history` lists the versions"
    )]
    #[from(skip)]
    NoVersion {
        /// The selected environment.
        environment: EnvironmentId,
        /// The requested version.
        version: DocumentVersion,
    },
    /// The environment has no version yet.
    #[display(
        "environment {environment} has no document yet. \
         Hint: `beryltray config apply FILE --base 0` creates the first version"
    )]
    #[from(skip)]
    NoDocument {
        /// The selected environment.
        environment: EnvironmentId,
    },
    /// An entry serves another environment.
    #[display(
        "the entry at {address} serves environment {found}, not {expected}. \
         Hint: give the addresses of entries of {expected} after --entry"
    )]
    #[from(skip)]
    OtherEnvironment {
        /// The operators' address that was queried.
        address: SocketAddr,
        /// The environment that the entry serves.
        found: EnvironmentId,
        /// The environment given on the command line.
        expected: EnvironmentId,
    },
    /// Reading versions from the platform failed.
    Store(VersionStoreError),
    /// Reading the list of hosts from the platform failed.
    Platform(PlatformError),
    /// Encoding the result as JSON failed.
    #[display("can't encode the result as JSON: {_0}. Hint: leave --format out")]
    Json(serde_json::Error),
}

impl ConfigError {
    /// Returns the exit code of the process.
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

fn problem_lines(problems: &[PlacementProblem]) -> String {
    let lines = problems.iter().map(PlacementProblem::to_string);
    lines.collect::<Vec<_>>().join("\n")
}
