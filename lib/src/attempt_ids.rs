//! Sources of attempt identifiers. The source is injected, so that tests can use deterministic IDs.

use crate::ids::AttemptId;
use crate::ids::new_attempt_id;

/// A source of unique attempt identifiers.
pub trait AttemptIdSource {
    /// Returns an identifier that was never returned before, by any process.
    fn next_attempt_id(&mut self) -> AttemptId;
}

/// A source of random 128-bit identifiers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomAttemptIds;

impl AttemptIdSource for RandomAttemptIds {
    fn next_attempt_id(&mut self) -> AttemptId {
        new_attempt_id()
    }
}
