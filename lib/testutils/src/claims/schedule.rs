//! Steps of the schedules that drive [`ClaimSimulation`](super::ClaimSimulation).

use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::table::TableFault;

/// The number of simulated entries.
pub const ENTRIES: usize = 3;
/// The number of idempotency keys that the entries contend for.
pub const KEYS: u8 = 2;

/// The claim protocol, correct or with a fault that the checks must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVariant {
    /// The protocol without a fault.
    Correct,
    /// Work is sent when the request arrives, before its claim is durable.
    SendBeforeClaim,
    /// Work is sent again after its claim was abandoned.
    TakeOverAbandoned,
    /// A commit whose answer was lost counts as successful.
    TrustLostCommit,
}

/// The result of sending granted work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The work runs, and its answer arrives.
    Answered,
    /// The work runs, and its answer is lost.
    Lost,
    /// The target refuses the work before it starts.
    Refused,
}

/// One step of a schedule.
#[derive(Clone, Debug)]
pub enum ClaimStep {
    /// An entry gets a request.
    Request {
        /// The entry's index.
        entry: usize,
        /// The number of the idempotency key.
        key: u8,
        /// The content of the body.
        body: u8,
    },
    /// A pending call to the table is answered.
    Answer {
        /// Selects the call, modulo the number of pending calls.
        pick: usize,
        /// The fault of the call.
        fault: TableFault,
    },
    /// Commits that were delayed by [`TableFault::LateEffect`] take effect.
    ApplyDelayedCommits,
    /// An entry crashes and restarts without state.
    Kill {
        /// The entry's index.
        entry: usize,
    },
    /// Granted work is sent.
    Send {
        /// Selects the grant, modulo the number of grants whose work is not sent yet.
        pick: usize,
        /// The result of the send.
        result: SendResult,
    },
    /// Time passes.
    Wait {
        /// How far the clock advances; `ClaimMachine::on_tick` of every entry is called afterwards.
        delay: Duration,
    },
}

impl Arbitrary for ClaimStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES;
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=3 => Self::Request {
                entry,
                key: u8::arbitrary(g) % KEYS,
                body: u8::from(u8::arbitrary(g).is_multiple_of(8)),
            },
            4..=8 => Self::Answer {
                pick,
                fault: arbitrary_fault(g),
            },
            9 => Self::ApplyDelayedCommits,
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
