//! Handles that a request holds while its work is claimed.

use log::debug;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::ids::AttemptId;

use super::types::LiveEntry;
use super::types::RecordedAnswer;
use super::types::WorkKey;

/// A message to the claim task.
#[derive(Debug)]
pub(super) enum ClaimMessage {
    Done {
        work: WorkKey,
        answer: RecordedAnswer,
    },
    NotRun {
        work: WorkKey,
    },
    Unknown {
        work: WorkKey,
    },
    Live(Vec<LiveEntry>),
    Flush(oneshot::Sender<()>),
}

/// A claim, and the message that is sent when it is dropped without a result.
#[derive(Debug)]
struct ClaimHandle {
    work: WorkKey,
    attempt: AttemptId,
    messages: mpsc::UnboundedSender<ClaimMessage>,
    drop_message: Option<ClaimMessage>,
}

impl ClaimHandle {
    fn send(&mut self, message: ClaimMessage) {
        self.drop_message = None;
        if self.messages.send(message).is_err() {
            debug!(work:% = self.work; "the claim task has ended; the result is not recorded");
        }
    }
}

impl Drop for ClaimHandle {
    fn drop(&mut self) {
        if let Some(message) = self.drop_message.take() {
            self.send(message);
        }
    }
}

/// A durable claim on work that was not sent yet.
///
/// Dropping it records the work as not run.
#[derive(Debug)]
pub struct ClaimGrant {
    handle: ClaimHandle,
}

impl ClaimGrant {
    pub(super) fn new(
        work: WorkKey,
        attempt: AttemptId,
        messages: mpsc::UnboundedSender<ClaimMessage>,
    ) -> Self {
        let drop_message = Some(ClaimMessage::NotRun { work: work.clone() });
        Self {
            handle: ClaimHandle {
                work,
                attempt,
                messages,
                drop_message,
            },
        }
    }

    /// Returns the attempt identifier to send the work with.
    pub fn attempt(&self) -> &AttemptId {
        &self.handle.attempt
    }

    /// Starts the only send; must be called before the first byte is sent.
    pub fn begin_send(mut self) -> ActiveClaim {
        let work = self.handle.work.clone();
        self.handle.drop_message = Some(ClaimMessage::Unknown { work });
        ActiveClaim {
            handle: self.handle,
        }
    }
}

/// A claim on work that may have been sent.
///
/// Dropping it records the result as unknown.
#[derive(Debug)]
pub struct ActiveClaim {
    handle: ClaimHandle,
}

impl ActiveClaim {
    /// Returns the attempt identifier that the work is sent with.
    pub fn attempt(&self) -> &AttemptId {
        &self.handle.attempt
    }

    /// Records the work's answer. Later requests with the same key get it.
    pub fn record_done(mut self, answer: RecordedAnswer) {
        let work = self.handle.work.clone();
        self.handle.send(ClaimMessage::Done { work, answer });
    }

    /// Records that the work was certainly not run, so that its key can be claimed again.
    ///
    /// Call it only if no byte was sent, or if a target whose refusals are trusted attests that it
    /// refused the work before it started.
    pub fn record_not_run(mut self) {
        let work = self.handle.work.clone();
        self.handle.send(ClaimMessage::NotRun { work });
    }
}
