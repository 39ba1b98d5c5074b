//! What entries tell each other: state that only its owner writes, and the exchange of it.
//!
//! Each entry owns its state: the hosts that it polls, the requests that it sent, the demand of
//! its client accounts, the document head that it knows. It numbers the versions of that state,
//! and the others keep the greatest version they heard, so frames may be lost, repeated or come
//! out of order. A frame carries only what its receiver has not acknowledged.
//!
//! [`StateExchange`] is the state machine: it decides whom to call, composes the frames and takes
//! the answers in. It owns no socket and no clock.
//!
//! ```
//! use std::time::Instant;
//!
//! use beryltray_lib::ids::Incarnation;
//! use beryltray_lib::process::exchange::ExchangeSettings;
//! use beryltray_lib::process::exchange::StateExchange;
//! use beryltray_lib::process::membership::member::MemberIdentity;
//!
//! let identity = |name: &str, port: u16| MemberIdentity {
//!     entry: name.parse().unwrap(),
//!     incarnation: Incarnation(1),
//!     data_centre: "lakes-a".parse().unwrap(),
//!     address: ([127, 0, 0, 1], port).into(),
//! };
//! let now = Instant::now();
//! let settings = ExchangeSettings::default();
//! let mut first = StateExchange::new(identity("entry-1", 7001), settings.clone(), now);
//! let mut second = StateExchange::new(identity("entry-2", 7002), settings, now);
//! // One call makes the entries known to each other; the next one carries state both ways.
//! for _ in 0..2 {
//!     let call = first.compose(Some(&"entry-2".parse().unwrap()), now);
//!     let (answer, _) = second.on_call(&call, now);
//!     first.on_answer(&answer, now);
//! }
//! assert!(first.membership().get(&"entry-2".parse().unwrap()).is_some());
//! assert!(second.membership().get(&"entry-1".parse().unwrap()).is_some());
//! ```

mod compose;
mod limits;
mod link;
pub mod publish;
mod receive;
pub mod record;
mod rounds;
pub mod settings;
pub mod value;
pub mod versioned_map;
pub mod view;
pub mod wire;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EntryId;
use crate::ids::HostId;
use crate::process::membership::Membership;
use crate::process::membership::MembershipAction;
use crate::process::membership::member::MemberIdentity;
use crate::sorted::SortedVec;
use crate::target::wire::HostReport;
use crate::version::head::HeadMark;
use limits::PublishedLimits;
use link::Link;
use link::SentFrames;
use record::OwnerRecord;
pub use settings::ExchangeSettings;

/// What the exchange asks of its driver.
///
/// The driver carries the actions of a call out before it sends the answer, because the answer
/// acknowledges the news that they bring.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeAction {
    /// Call an entry with a frame from [`StateExchange::compose`].
    Call {
        /// The address to call.
        address: SocketAddr,
        /// The entry that is expected there; `None` for a seed.
        peer: Option<EntryId>,
    },
    /// The view of the members changed.
    MembershipChanged(MembershipAction),
    /// A peer of this data centre was heard; its sends and limits are to be read anew.
    PeerUpdated {
        /// The peer.
        peer: EntryId,
        /// The time since the news, at most.
        age: Duration,
    },
    /// A peer reported on a host.
    HostReported {
        /// The report.
        report: HostReport,
        /// How old it is at most.
        age: Duration,
    },
    /// A peer says that a host is about to go away.
    HostLeaving {
        /// The host.
        host: HostId,
    },
    /// A peer knows another version of the document.
    HeadReported {
        /// The peer.
        peer: EntryId,
        /// The version.
        mark: HeadMark,
    },
}

/// The state exchange of one entry.
#[derive(Debug)]
pub struct StateExchange {
    settings: ExchangeSettings,
    membership: Membership,
    own: OwnerRecord,
    records: SortedVec<OwnerRecord>,
    links: SortedVec<Link>,
    sent: SentFrames,
    round: u64,
    published_limits: VecDeque<PublishedLimits>,
}

impl StateExchange {
    /// Creates an exchange that knows nobody but its seeds.
    pub fn new(identity: MemberIdentity, settings: ExchangeSettings, now: Instant) -> Self {
        let mut own = OwnerRecord::new(identity.clone(), now);
        // Version zero stands for a state of which nothing is known.
        own.next_version();
        Self {
            membership: Membership::new(identity, settings.membership, now),
            own,
            settings,
            records: SortedVec::new(),
            links: SortedVec::new(),
            sent: SentFrames::default(),
            round: 0,
            published_limits: VecDeque::new(),
        }
    }

    /// Returns the view of the members.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the settings.
    pub fn settings(&self) -> &ExchangeSettings {
        &self.settings
    }

    /// Returns the state of this entry.
    pub fn own(&self) -> &OwnerRecord {
        &self.own
    }

    /// Returns the state of another entry, as far as it is known.
    pub fn record(&self, entry: &EntryId) -> Option<&OwnerRecord> {
        self.records.get(entry)
    }

    /// Returns the greatest document head that any entry is known to have.
    pub fn latest_head(&self) -> Option<&HeadMark> {
        self.own.head.as_ref()
    }

    fn is_near(&self, identity: &MemberIdentity) -> bool {
        identity.data_centre == self.own.identity.data_centre
    }
}
