//! The names of the metrics of the pace.

/// The gauge of the targets that are paced.
pub const PACED_TARGETS: &str = "paced_targets";
/// The counter of requests whose chosen target should not take them yet.
pub const PACED_CHOICES: &str = "paced_choices_total";
/// The label of a request that went to another target.
pub const MOVED: &str = "moved";
/// The label of a request that was sent nevertheless, because no other target had room.
pub const YIELDED: &str = "yielded";
