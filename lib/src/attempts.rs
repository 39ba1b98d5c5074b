//! Where attempt identifiers come from, passed in so that tests decide them.

use crate::ids::AttemptId;
use crate::ids::new_attempt_id;

/// A source of attempt identifiers that never repeat.
pub trait AttemptSource {
    /// Returns an identifier that no one else has.
    fn next_attempt(&mut self) -> AttemptId;
}

/// Random identifiers of 128 bits.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomAttempts;

impl AttemptSource for RandomAttempts {
    fn next_attempt(&mut self) -> AttemptId {
        new_attempt_id()
    }
}
