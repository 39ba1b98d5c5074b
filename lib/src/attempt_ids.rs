//! Where attempt identifiers come from, passed in so that tests decide them.

use crate::ids::AttemptId;
use crate::ids::new_attempt_id;

/// A source of attempt identifiers that never repeat.
pub trait AttemptIdSource {
    /// Returns an identifier that no one else has.
    fn next_attempt_id(&mut self) -> AttemptId;
}

/// Random identifiers of 128 bits.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomAttemptIds;

impl AttemptIdSource for RandomAttemptIds {
    fn next_attempt_id(&mut self) -> AttemptId {
        new_attempt_id()
    }
}
