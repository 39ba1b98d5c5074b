//! How a feed of platform records is read: which read comes next, and as of when its reader knows all
//! changes.

mod older_snapshots;
mod read_plan;
mod snapshot_check;

pub use self::older_snapshots::OlderSnapshots;
pub use self::read_plan::ChangesAnswer;
pub use self::read_plan::NextRead;
pub use self::read_plan::ReadPlan;
pub use self::read_plan::ReadPlanSettings;
pub use self::snapshot_check::ChangesSince;
pub use self::snapshot_check::NewestRevision;
pub use self::snapshot_check::SnapshotCheck;
pub use self::snapshot_check::SnapshotUse;
