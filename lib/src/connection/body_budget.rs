//! A process-wide budget of bytes for the bodies of requests, from their arrival until they are no
//! longer held.
//!
//! Unlike [`BodyMemory`](super::body_memory::BodyMemory), which makes answers wait, it refuses: a request
//! that does not fit was not run, and its caller can use the time at another entry.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

/// The size up to which a body takes memory from the part for small bodies. Prompts of some thousand
/// tokens are smaller.
pub const SMALL_BODY_BYTES: usize = 16 * 1024;
/// What a request counts beside its head and body: its task and its fields.
const REQUEST_BYTES: usize = 2 * 1024;
/// The divisor of the budget that gives the part that only small bodies may use.
const SMALL_PART_DIVISOR: usize = 3;

/// The budget is used up, so the request is refused before it runs.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the memory for bodies of requests is used up. Hint: retry later, or at another entry")]
pub struct BudgetExhausted;

/// A budget of bytes for the bodies of requests; clones share it.
///
/// Requests and bodies of up to [`SMALL_BODY_BYTES`] take from the part for small bodies while there is
/// room, and all others from the common part, so that large bodies don't displace small ones. One large
/// body at a time is admitted whatever its size, so that a small budget serves each body within the
/// limits.
///
/// ```
/// use beryltray_lib::connection::body_budget::BodyBudget;
/// use beryltray_lib::connection::body_budget::BudgetExhausted;
///
/// let budget = BodyBudget::new(3_000_000);
/// let mut first = budget.admit(0).unwrap();
/// first.grow_to(1_900_000).unwrap();
/// let mut second = budget.admit(0).unwrap();
/// assert_eq!(second.grow_to(1_900_000), Err(BudgetExhausted));
/// assert!(second.grow_to(4_000).is_ok());
/// drop(first);
/// assert!(second.grow_to(1_900_000).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct BodyBudget {
    shared: Arc<SharedBudget>,
}

#[derive(Debug)]
struct SharedBudget {
    small_limit_bytes: usize,
    common_limit_bytes: usize,
    held: Mutex<HeldBytes>,
}

/// The bytes that are held of each part.
#[derive(Clone, Copy, Debug, Default)]
struct HeldBytes {
    small: usize,
    common: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        let small_limit_bytes = limit_bytes / SMALL_PART_DIVISOR;
        Self {
            shared: Arc::new(SharedBudget {
                small_limit_bytes,
                common_limit_bytes: limit_bytes - small_limit_bytes,
                held: Mutex::default(),
            }),
        }
    }

    /// Admits a request whose head has `head_bytes`, without its body.
    pub fn admit(&self, head_bytes: usize) -> Result<BodyShare, BudgetExhausted> {
        let mut share = BodyShare {
            budget: self.clone(),
            body_bytes: 0,
            small: 0,
            common: 0,
        };
        share.take_small(REQUEST_BYTES + head_bytes)?;
        Ok(share)
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        let held = self.held();
        held.small + held.common
    }

    fn held(&self) -> MutexGuard<'_, HeldBytes> {
        // The counts are consistent between any two statements.
        let held = self.shared.held.lock();
        held.unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one request holds of the budget until this is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: BodyBudget,
    /// The size of the body for which the share is large enough.
    body_bytes: usize,
    small: usize,
    common: usize,
}

/// A body that holds its share of the budget.
struct CountedBody {
    body: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl BodyShare {
    /// Takes what a body of `body_bytes` needs; a smaller one than before keeps what it has.
    ///
    /// If the budget is used up, the share stays as it is.
    pub fn grow_to(&mut self, body_bytes: usize) -> Result<(), BudgetExhausted> {
        if body_bytes <= self.body_bytes {
            return Ok(());
        }
        let further = body_bytes - self.body_bytes;
        if body_bytes <= SMALL_BODY_BYTES {
            self.take_small(further)?;
        } else {
            self.take_common(further)?;
        }
        self.body_bytes = body_bytes;
        Ok(())
    }

    /// Returns `body` with this share, which is held until the last clone of it is dropped.
    pub fn keep_with(self, body: Vec<u8>) -> Bytes {
        Bytes::from_owner(CountedBody { body, _share: self })
    }

    fn take_small(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let shared = &self.budget.shared;
        let mut held = self.budget.held();
        if held.small + bytes <= shared.small_limit_bytes {
            held.small += bytes;
            self.small += bytes;
            return Ok(());
        }
        if held.common + bytes > shared.common_limit_bytes {
            return Err(BudgetExhausted);
        }
        held.common += bytes;
        self.common += bytes;
        Ok(())
    }

    fn take_common(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let limit_bytes = self.budget.shared.common_limit_bytes;
        let mut held = self.budget.held();
        let is_only_one = held.common == self.common;
        if held.common + bytes > limit_bytes && !is_only_one {
            return Err(BudgetExhausted);
        }
        held.common += bytes;
        self.common += bytes;
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let mut held = self.budget.held();
        held.small -= self.small;
        held.common -= self.common;
    }
}
