//! Claims on non-idempotent work, which ensure that each piece of work runs at most once.
//!
//! A claim is a row in the platform's table under the caller's account and idempotency key. The
//! work is sent only after its claim is known to be durable, and no other entry ever takes over a
//! claim. If an entry crashes after the claim, the result of the work is therefore unknown, and
//! later requests with the same key get that answer.
//!
//! [`ClaimMachine`] is a state machine without I/O; [`store::ClaimStore`] drives it. The claims and
//! results of all requests in flight share transactions, because the platform's write rate is
//! limited. A claim that conflicts with an existing one is removed, and the rest is committed
//! without it.
//!
//! ```
//! use std::time::Instant;
//!
//! use beryltray_lib::attempt_ids::RandomAttemptIds;
//! use beryltray_lib::ids::digest_of;
//! use beryltray_lib::request::claim::ClaimAction;
//! use beryltray_lib::request::claim::ClaimMachine;
//! use beryltray_lib::request::claim::ClaimOwner;
//! use beryltray_lib::request::claim::ClaimSettings;
//! use beryltray_lib::request::claim::ClaimTicket;
//! use beryltray_lib::request::claim::WorkKey;
//!
//! # fn main() -> Result<(), beryltray_lib::ids::ParseIdError> {
//! let owner = ClaimOwner {
//!     environment: "trial".parse()?,
//!     entry: "entry-1".parse()?,
//!     incarnation: Default::default(),
//! };
//! let mut machine = ClaimMachine::new(ClaimSettings::default(), owner, RandomAttemptIds);
//! let work = WorkKey {
//!     account: "depot-north".parse()?,
//!     key: "order-17".parse()?,
//! };
//! let now = Instant::now();
//! assert!(machine.on_claim(ClaimTicket(1), work, digest_of(b"body"), now).is_empty());
//! let later = now + ClaimSettings::default().batch_delay;
//! let actions = machine.on_tick(later);
//! assert!(matches!(&actions[..], [ClaimAction::Commit { .. }]));
//! # Ok(())
//! # }
//! ```

mod batch;
mod grant;
mod holders;
mod machine;
mod outcomes;
mod routes;
pub mod store;
mod stored;
mod types;

pub use grant::ActiveClaim;
pub use grant::ClaimGrant;
pub use machine::ClaimMachine;
pub use types::BatchNumber;
pub use types::ClaimAction;
pub use types::ClaimDecision;
pub use types::ClaimOwner;
pub use types::ClaimSettings;
pub use types::ClaimTicket;
pub use types::LiveEntry;
pub use types::RecordedAnswer;
pub use types::TableRoute;
pub use types::WorkKey;
