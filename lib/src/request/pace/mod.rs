//! The pace of targets that have just started or recovered.
//!
//! Such a target is sent few requests at first, and more as its answers prove sound. All entries send to
//! it, so the bound holds for their sum: an entry sends its share of the room that it sees, drawn at
//! random, and the entries gossip how far the target has come. The pace is a preference in the choice of
//! a target. It never refuses a request. The modules do no I/O and use no clock.

mod choice;
mod gossip;
mod machine;
pub mod metrics;
mod settings;
mod targets;

pub use self::choice::PaceView;
pub use self::choice::PacedChoice;
pub use self::gossip::GossipedPace;
pub use self::machine::PaceEnd;
pub use self::machine::PaceInstance;
pub use self::machine::PaceLoad;
pub use self::machine::PaceReason;
pub use self::machine::Setback;
pub use self::machine::TargetPace;
pub use self::settings::PaceSettings;
pub use self::targets::ChoiceCounts;
pub use self::targets::ListedTarget;
pub use self::targets::PaceChange;
pub use self::targets::PaceEvent;
pub use self::targets::TargetKind;
pub use self::targets::TargetPaces;
