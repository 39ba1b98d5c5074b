//! What the commands on documents print.

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

/// Returns the row of a version, or of the latest one.
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
            let past = versions.history_version(version).await?;
            let row = past.map(|past| past.row);
            row.ok_or(ConfigError::NoVersion {
                environment,
                version,
            })
        }
    }
}

/// How a change ended.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub(crate) enum ChangeReport {
    /// The change is a new version.
    Accepted {
        /// The new version.
        version: HeadRow,
        /// How far the entries are, if they were asked.
        force: Option<ForceReport>,
    },
    /// The head has the text already.
    Unchanged {
        /// The head.
        version: HeadRow,
        /// How far the entries are, if they were asked.
        force: Option<ForceReport>,
    },
    /// Another change came first.
    Conflict {
        /// The version that the change was made on.
        base: DocumentVersion,
        /// The head.
        current: Option<HeadRow>,
        /// What the accepted changes did, as a diff.
        theirs: String,
        /// What the refused change would do, as a diff.
        yours: String,
    },
    /// The change was not accepted, or may not have been.
    Failed {
        /// Why.
        reason: String,
        /// Whether it is certain that it was not accepted.
        is_certain: bool,
    },
}

/// How far the entries are with a version.
#[derive(Debug, Serialize)]
pub(crate) struct ForceReport {
    is_everywhere: bool,
    /// How long the entries were asked after the change was accepted, in milliseconds.
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

impl ForceReport {
    /// Creates the report of entries that were asked for some time.
    pub(crate) fn new(progress: &RolloutProgress, waited: Duration) -> Self {
        let asked = progress.entries().iter().map(EntryReport::from);
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
            entries: asked.chain(behind).collect(),
        }
    }

    /// Returns whether every entry has the version.
    pub(crate) fn is_everywhere(&self) -> bool {
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
    /// Creates the report of a conflict with both changes.
    pub(crate) fn conflict(report: ConflictReport) -> Self {
        Self::Conflict {
            base: report.base,
            current: Some(report.current),
            theirs: report.theirs,
            yours: report.yours,
        }
    }

    /// Prints the report for people.
    pub(crate) fn print(&self) {
        match self {
            Self::Accepted { version, force } => {
                println!("accepted as version {}", version.version);
                print_force(force.as_ref());
            }
            Self::Unchanged { version, force } => {
                let version = version.version;
                println!("nothing to change: version {version} has this text already");
                print_force(force.as_ref());
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

fn print_force(force: Option<&ForceReport>) {
    match force {
        None => println!("no entry was asked whether it is in force; name some with --entry"),
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
         What you wanted to change:\n{yours}\nHint: put your change into version {version} \
         (`beryltray config show`) and apply that with --base {version}"
    );
}
