//! Tells which history of the platform a revision belongs to.
//!
//! A platform that is restored from a copy comes back in an earlier state: the writes since the copy are
//! gone, and their revisions are given out again. A revision is thus only comparable within one history. An
//! entry numbers the histories that it knows of, tells their identifiers to the others, and compares no
//! revision with one of another history.
//!
//! Reads don't prove that the platform has gone back, since copies that lag answer them with low revisions,
//! too. A write does: the revision of a write that the platform accepts is above all that it had given out
//! in its history before the write was sent. So an entry whose reads are below what it knows writes a row of
//! its own.

mod id;
mod machine;

pub use self::id::HistoryId;
pub use self::id::ParseHistoryIdError;
pub use self::machine::KnownRevision;
pub use self::machine::PlatformHistory;
pub use self::machine::WriteEvidence;
