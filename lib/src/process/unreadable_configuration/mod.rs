//! What an entry does while it can't read the newest version of the configuration, for example one that
//! was written for a later version of the program.
//!
//! The entry goes on with the version in force, but does not take it for the latest: what it doesn't
//! know may have been added. Nor does it confirm its version to other entries, which may be able to
//! read the newest one.

mod state;

pub use self::state::ConfigurationRead;
pub use self::state::ReadabilityChange;
pub use self::state::UnreadableConfiguration;
