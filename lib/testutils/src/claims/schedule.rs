//! Schedules of what happens to entries that claim work.

use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::table::TableFault;

/// The number of entries.
pub const ENTRIES: usize = 3;
/// The number of keys that they contend for.
pub const KEYS: u8 = 2;

/// A rule of the entries that a checker must catch, or none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVariant {
    /// The rules as they are.
    Correct,
    /// Work is sent when it is asked for, before its claim is durable.
    SendBeforeClaim,
    /// Work whose claim was abandoned is sent again.
    TakeOverAbandoned,
    /// A commit whose answer was lost is taken for a success.
    TrustLostCommit,
}

/// What becomes of work that is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// It runs, and its answer arrives.
    Answered,
    /// It runs, and its answer is lost.
    Lost,
    /// It is refused before the start.
    Refused,
}

/// One step of a schedule.
#[derive(Clone, Debug)]
pub enum ClaimStep {
    /// An entry is asked for work.
    Ask {
        /// The entry.
        entry: usize,
        /// The key.
        key: u8,
        /// The body.
        body: u8,
    },
    /// A call to the table is answered.
    Answer {
        /// Which of the calls under way.
        pick: usize,
        /// What befalls it.
        fault: TableFault,
    },
    /// Late effects come.
    Release,
    /// An entry dies and comes back with nothing.
    Kill {
        /// The entry.
        entry: usize,
    },
    /// Granted work is sent.
    Send {
        /// Which of the grants.
        pick: usize,
        /// What becomes of it.
        result: SendResult,
    },
    /// Time passes.
    Wait {
        /// How long.
        delay: Duration,
    },
}

impl Arbitrary for ClaimStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES;
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=3 => Self::Ask {
                entry,
                key: u8::arbitrary(g) % KEYS,
                body: u8::from(u8::arbitrary(g).is_multiple_of(8)),
            },
            4..=8 => Self::Answer {
                pick,
                fault: arbitrary_fault(g),
            },
            9 => Self::Release,
            10 if bool::arbitrary(g) => Self::Kill { entry },
            11..=13 => Self::Send {
                pick,
                result: arbitrary_result(g),
            },
            _ => Self::Wait {
                delay: Duration::from_millis(u64::arbitrary(g) % 3000),
            },
        }
    }
}

fn arbitrary_fault(g: &mut Gen) -> TableFault {
    match u8::arbitrary(g) % 10 {
        0 => TableFault::LostAnswer,
        1 => TableFault::LostRequest,
        2 => TableFault::LateEffect,
        3 => TableFault::Unavailable,
        _ => TableFault::None,
    }
}

fn arbitrary_result(g: &mut Gen) -> SendResult {
    match u8::arbitrary(g) % 4 {
        0 => SendResult::Lost,
        1 => SendResult::Refused,
        _ => SendResult::Answered,
    }
}
