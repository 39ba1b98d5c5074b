//! State exchange between entries: each entry replicates the state that it owns to its peers.
//!
//! Each entry owns its state: reports of the hosts that it polls, the requests that it sent, the
//! demand of its client accounts, its latest document head. Only the owner changes that state and
//! numbers its versions. The others keep the greatest version that they received, so frames may be
//! lost, duplicated or reordered. A frame carries only what its receiver has not acknowledged.
//!
//! "Near" refers to entries of the same data centre, "far" to those of other data centres. Near
//! entries exchange their whole state, far ones only service summaries and document versions.
//!
//! [`StateExchange`] is a state machine without I/O: it selects the peers to call, composes frames
//! and processes received ones. The caller passes in the time.
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
//! // The first call introduces the entries to each other; the second carries state both ways.
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

/// An action that the driver of the exchange must perform.
///
/// The driver performs the actions of a call before it sends the answer, because the answer
/// acknowledges the state changes that they report.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeAction {
    /// Call an entry with a frame from [`StateExchange::compose`].
    Call {
        /// The address of the entry or seed.
        address: SocketAddr,
        /// The entry that is expected there; `None` for a seed.
        peer: Option<EntryId>,
    },
    /// The view of the members changed, or another process uses this entry's name.
    MembershipChanged(MembershipAction),
    /// A peer of this data centre changed its state; its sends and limits must be read again.
    PeerUpdated {
        /// The owner of the changed state.
        peer: EntryId,
        /// An upper bound for the age of the change.
        age: Duration,
    },
    /// A peer published a report on a host.
    HostReported {
        /// The report, with loads rounded to their levels.
        report: HostReport,
        /// An upper bound for the age of the report.
        age: Duration,
    },
    /// A peer marked a host as about to leave.
    HostLeaving {
        /// The marked host.
        host: HostId,
    },
    /// A peer published a document head, which is not necessarily later than the known one.
    HeadReported {
        /// The entry that published the head.
        peer: EntryId,
        /// The version and digest of the document.
        mark: HeadMark,
    },
}

/// The state exchange of one entry, as a state machine.
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
    /// Creates an exchange whose only known addresses are the seeds.
    pub fn new(identity: MemberIdentity, settings: ExchangeSettings, now: Instant) -> Self {
        let mut own = OwnerRecord::new(identity.clone(), now);
        // Version zero is reserved for a state of which nothing is known.
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

    /// Returns this entry's view of the members, itself included.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the settings given at creation.
    pub fn settings(&self) -> &ExchangeSettings {
        &self.settings
    }

    /// Returns the state that this entry owns.
    pub fn own(&self) -> &OwnerRecord {
        &self.own
    }

    /// Returns the latest received state of another entry; `None` if nothing was received.
    pub fn record(&self, entry: &EntryId) -> Option<&OwnerRecord> {
        self.records.get(entry)
    }

    /// Returns the greatest document head that this entry has set or received.
    pub fn latest_head(&self) -> Option<&HeadMark> {
        self.own.head.as_ref()
    }

    fn is_near(&self, identity: &MemberIdentity) -> bool {
        identity.data_centre == self.own.identity.data_centre
    }
}
