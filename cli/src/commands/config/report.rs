//! Output of the `config` subcommands.

use std::time::Duration;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::version::change::conflict::ConflictReport;
use beryltray_lib::version::change::rollout::AddressProgress;
use beryltray_lib::version::change::rollout::EntryProgress;
use beryltray_lib::version::change::rollout::RolloutProgress;
use beryltray_lib::version::store::VersionStore;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

use super::ConfigError;
use super::options::Platform;

/// Prints a value as one JSON object.
pub(crate) fn print_json<T>(value: &T) -> Result<(), ConfigError>
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Returns the row of `version`, or of the latest version if it is `None`.
pub(crate) async fn resolve_version(
    versions: &VersionStore<Platform>,
    version: Option<DocumentVersion>,
) -> Result<HeadRow, ConfigError> {
    let environment = versions.environment().clone();
    match version {
        None => {
            let head = versions.head().await?;
            let row = head.map(|head| head.row);
            row.ok_or(ConfigError::NoDocument { environment })
        }
        Some(version) => {
            let found = versions.history_version(version).await?;
            let row = found.map(|found| found.row);
            row.ok_or(ConfigError::NoVersion {
                environment,
                version,
            })
        }
    }
}

/// The outcome of a change, in the JSON output.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub(crate) enum ChangeReport {
    /// The change was accepted as a new version.
    Accepted {
        /// The row of the new version.
        version: HeadRow,
        /// The rollout to the entries; absent if none were queried.
        force: Option<RolloutReport>,
    },
    /// The latest version already has this text, so that no version was added.
    Unchanged {
        /// The row of the latest version.
        version: HeadRow,
        /// The rollout to the entries; absent if none were queried.
        force: Option<RolloutReport>,
    },
    /// The base is not the latest version; nothing was changed.
    Conflict {
        /// The version that the refused change is based on.
        base: DocumentVersion,
        /// The row of the latest version; absent if the environment has none.
        current: Option<HeadRow>,
        /// The unified diff of the changes accepted since the base.
        theirs: String,
        /// The unified diff of the refused change.
        yours: String,
    },
    /// The change was not accepted, or may not have been.
    Failed {
        /// The error message.
        reason: String,
        /// Whether the change is known not to have been accepted; otherwise it may have been.
        is_certain: bool,
    },
}

/// The rollout of a version to the entries, in the JSON output.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutReport {
    is_everywhere: bool,
    /// The time from acceptance to the end of the wait, in milliseconds.
    waited_ms: u128,
    entries: Vec<EntryReport>,
}

#[derive(Debug, Serialize)]
struct EntryReport {
    address: Option<String>,
    entry: Option<String>,
    state: String,
    version: Option<DocumentVersion>,
}

impl RolloutReport {
    /// Creates the report of a rollout that was polled for `waited`.
    pub(crate) fn new(progress: &RolloutProgress, waited: Duration) -> Self {
        let queried = progress.entries().iter().map(EntryReport::from);
        let behind = progress.members_behind().into_iter();
        let behind = behind.map(|member| EntryReport {
            address: None,
            entry: Some(member.entry.to_string()),
            state: String::from("not in force yet, by the word of another entry"),
            version: member.version,
        });
        Self {
            is_everywhere: progress.is_complete(),
            waited_ms: waited.as_millis(),
            entries: queried.chain(behind).collect(),
        }
    }

    /// Returns whether the version is in force on every entry.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_everywhere
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(NOTHING);
        table.set_header(["ENTRY", "ADDRESS", "STATE", "ITS VERSION"]);
        let shown = |text: &Option<String>| text.clone().unwrap_or_else(|| String::from("-"));
        for entry in &self.entries {
            let version = entry.version.map(|version| version.to_string());
            table.add_row([
                shown(&entry.entry),
                shown(&entry.address),
                entry.state.clone(),
                shown(&version),
            ]);
        }
        table
    }
}

impl From<&AddressProgress> for EntryReport {
    fn from(progress: &AddressProgress) -> Self {
        let (entry, version) = match &progress.progress {
            EntryProgress::NoReport => (None, None),
            EntryProgress::InForce { entry } => (Some(entry), None),
            EntryProgress::Behind {
                entry, in_force, ..
            } => (Some(entry), in_force.as_ref().map(|mark| mark.version)),
        };
        Self {
            address: Some(progress.address.to_string()),
            entry: entry.map(ToString::to_string),
            state: progress.progress.to_string(),
            version,
        }
    }
}

impl ChangeReport {
    /// Creates the report of a conflict with the diffs of both changes.
    pub(crate) fn conflict(report: ConflictReport) -> Self {
        Self::Conflict {
            base: report.base,
            current: Some(report.current),
            theirs: report.theirs,
            yours: report.yours,
        }
    }

    /// Prints the report as text.
    pub(crate) fn print(&self) {
        match self {
            Self::Accepted { version, force } => {
                println!("accepted as version {}", version.version);
                print_rollout(force.as_ref());
            }
            Self::Unchanged { version, force } => {
                let version = version.version;
                println!("nothing to change: version {version} already has this text");
                print_rollout(force.as_ref());
            }
            Self::Conflict {
                base,
                current,
                theirs,
                yours,
            } => print_conflict(*base, current.as_ref(), theirs, yours),
            Self::Failed { reason, .. } => eprintln!("beryltray: {reason}"),
        }
    }
}

fn print_rollout(force: Option<&RolloutReport>) {
    match force {
        None => println!(
            "no entry was queried whether the version is in force; give entries with --entry"
        ),
        Some(force) if force.is_everywhere => {
            println!("in force everywhere\n{}", force.table());
        }
        Some(force) => println!("not in force everywhere yet\n{}", force.table()),
    }
}

fn print_conflict(base: DocumentVersion, current: Option<&HeadRow>, theirs: &str, yours: &str) {
    let Some(current) = current else {
        println!(
            "conflict: your change was made on version {base}, but there is no version yet; \
             nothing was changed\nHint: apply it with --base 0"
        );
        return;
    };
    let (version, author) = (current.version, &current.author);
    println!(
        "conflict: your change was made on version {base}, but version {version} by {author} came \
         first; nothing was changed\n\nWhat was accepted since version {base}:\n{theirs}\n\
         Your change:\n{yours}\nHint: make your change on version {version} \
         (`beryltray config show`) and apply it with --base {version}"
    );
}
