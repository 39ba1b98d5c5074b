//! Admission requests of the experiments that have only one account.

use std::time::Instant;

use beryltray_lib::request::admission::AdmissionRequest;
use beryltray_lib::request::admission::Ticket;
use beryltray_lib::request::fair_queue::QueueKey;
use beryltray_lib::version::document::Priority;

use super::routing_entry::numbered_id;

/// Returns an admission request of normal priority whose ticket is `number`.
pub(super) fn normal_priority_request(
    number: usize,
    deadline: Instant,
) -> Option<AdmissionRequest> {
    Some(AdmissionRequest {
        ticket: Ticket(number as u64),
        key: QueueKey {
            account: numbered_id("account", 0)?,
            weight: 1,
            priority: Priority::Normal,
            cost: 1.0,
        },
        deadline,
    })
}
