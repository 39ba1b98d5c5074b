//! Tests of admission: fairness between accounts, priority classes and refusal by deadline.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::request::admission::Admission;
use beryltray_lib::request::admission::AdmissionAction;
use beryltray_lib::request::admission::AdmissionRequest;
use beryltray_lib::request::admission::AdmissionSettings;
use beryltray_lib::request::admission::Ticket;
use beryltray_lib::request::fair_queue::FairQueue;
use beryltray_lib::request::fair_queue::QueueKey;
use beryltray_lib::version::document::Priority;
use beryltray_testutils::seeds::quickcheck_with_seed;

const SERVICE_TIME: Duration = Duration::from_secs(1);

fn key(account: &str, weight: u32, priority: Priority) -> QueueKey {
    QueueKey {
        account: account.parse().unwrap(),
        weight,
        priority,
        cost: 1.0,
    }
}

fn admission(capacity_requests: u32, queue_limit_requests: usize, now: Instant) -> Admission {
    let mut admission = Admission::new(AdmissionSettings {
        queue_limit_requests,
        emergency_reserve_requests: 1,
        assumed_service_time: SERVICE_TIME,
        ..AdmissionSettings::default()
    });
    admission.set_capacity(capacity_requests, now);
    admission
}

fn request(ticket: u64, key: QueueKey, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        ticket: Ticket(ticket),
        key,
        deadline,
    }
}

#[test]
fn queue_serves_accounts_by_weight() {
    let mut queue = FairQueue::default();
    for number in 0..40 {
        queue.push(key("large", 3, Priority::Normal), number);
        queue.push(key("small", 1, Priority::Normal), number);
    }
    let first: Vec<_> = (0..40).map(|_| queue.pop().unwrap().key.account).collect();
    let large = first.iter().filter(|account| account.as_str() == "large");
    assert_eq!(large.count(), 30);
}

#[test]
fn queue_flood_does_not_delay_a_small_account() {
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(key("flood", 1, Priority::Normal), number);
    }
    assert!(queue.queued_ahead_of(&key("small", 1, Priority::Normal)) <= 1);
}

#[test]
fn queue_does_not_starve_batch_work() {
    let mut queue = FairQueue::default();
    queue.push(key("a", 1, Priority::Batch), 0);
    for number in 1..40 {
        queue.push(key("a", 1, Priority::Normal), number);
    }
    let first: Vec<_> = (0..10).map(|_| queue.pop().unwrap().key.priority).collect();
    assert!(first.contains(&Priority::Batch));
}

#[test]
fn admission_emergency_evicts_from_full_queue() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let mut admission = admission(1, 2, now);
    for ticket in 0..3 {
        admission.on_request(
            request(ticket, key("a", 1, Priority::Normal), deadline),
            now,
        );
    }
    let emergency = |ticket| request(ticket, key("b", 1, Priority::Emergency), deadline);
    let reserved = admission.on_request(emergency(10), now);
    assert_eq!(reserved, [AdmissionAction::Admit { ticket: Ticket(10) }]);
    let evicted = admission.on_request(emergency(11), now);
    let is_refusal = |action: &AdmissionAction| matches!(action, AdmissionAction::Refuse { .. });
    assert!(is_refusal(&evicted[0]));
    assert!(matches!(evicted[1], AdmissionAction::Wait { ticket, .. } if ticket == Ticket(11)));
    let next = admission.on_released(now);
    assert_eq!(next, [AdmissionAction::Dequeue { ticket: Ticket(11) }]);
}

#[test]
fn admission_refuses_at_once_without_capacity() {
    let now = Instant::now();
    let mut admission = admission(0, 8, now);
    let deadline = now + Duration::from_secs(60);
    let actions = admission.on_request(request(1, key("a", 1, Priority::Normal), deadline), now);
    assert!(matches!(actions[..], [AdmissionAction::Refuse { .. }]));
}

#[test]
fn admission_refuses_queued_request_that_would_miss_its_deadline() {
    let now = Instant::now();
    let mut admission = admission(1, 8, now);
    let deadline = now + 3 * SERVICE_TIME;
    for ticket in 0..2 {
        admission.on_request(
            request(ticket, key("a", 1, Priority::Normal), deadline),
            now,
        );
    }
    assert_eq!(admission.next_tick(), Some(now + 2 * SERVICE_TIME));
    let late = now + 2 * SERVICE_TIME + Duration::from_millis(1);
    let refused = admission.on_tick(late);
    assert!(matches!(
        refused[..],
        [AdmissionAction::Refuse {
            ticket: Ticket(1),
            ..
        }]
    ));
}

/// One element per request: its deadline, relative to its arrival, and the time until the next
/// arrival, both in tenths of a second; the latter is taken modulo 16.
type Schedule = Vec<(u8, u8)>;

/// Drives a server with one slot and a fixed service time. Returns whether every request that was
/// dequeued can still finish by its deadline and every request got exactly one final action.
fn meets_deadlines(mut admission: Admission, schedule: &Schedule, start: Instant) -> bool {
    let mut now = start;
    let mut deadlines = Vec::new();
    let mut final_counts = vec![0; schedule.len()];
    let mut ends_at: Option<Instant> = None;
    let mut is_met = true;
    let mut actions = Vec::new();
    let tenth = Duration::from_millis(100);
    let mut arrivals = schedule.iter();
    let mut next_arrival = Some(start);
    while next_arrival.is_some() || ends_at.is_some() {
        let times = [next_arrival, ends_at];
        now = times.into_iter().flatten().min().unwrap_or(now);
        if ends_at == Some(now) {
            ends_at = None;
            actions.extend(admission.on_finished(SERVICE_TIME, now));
        } else if let Some((deadline, gap_tenths)) = arrivals.next() {
            let deadline = now + tenth * u32::from(*deadline);
            let ticket = deadlines.len() as u64;
            deadlines.push(deadline);
            let request = request(ticket, key("a", 1, Priority::Normal), deadline);
            actions.extend(admission.on_request(request, now));
            next_arrival = Some(now + tenth * u32::from(gap_tenths % 16));
        } else {
            next_arrival = None;
        }
        for action in actions.drain(..) {
            match action {
                AdmissionAction::Dequeue { ticket } => {
                    final_counts[ticket.0 as usize] += 1;
                    ends_at = Some(now + SERVICE_TIME);
                    is_met &= now + SERVICE_TIME <= deadlines[ticket.0 as usize];
                }
                AdmissionAction::Admit { ticket } => {
                    final_counts[ticket.0 as usize] += 1;
                    ends_at = Some(now + SERVICE_TIME);
                }
                AdmissionAction::Refuse { ticket, .. } => final_counts[ticket.0 as usize] += 1,
                AdmissionAction::Wait { .. } => {}
            }
        }
    }
    is_met && final_counts.iter().all(|count| *count == 1)
}

#[test]
fn admission_meets_deadlines_over_schedules() {
    fn is_met(schedule: Schedule) -> bool {
        let now = Instant::now();
        meets_deadlines(admission(1, 16, now), &schedule, now)
    }
    quickcheck_with_seed(31, 400).quickcheck(is_met as fn(Schedule) -> bool);
}

#[test]
fn admission_without_deadline_bound_is_caught() {
    let now = Instant::now();
    // An assumed service time of zero makes the deadline bound ineffective; `meets_deadlines` must
    // detect that.
    let mut without_bound = Admission::new(AdmissionSettings {
        assumed_service_time: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    without_bound.set_capacity(1, now);
    let schedule = vec![(15, 0); 8];
    assert!(!meets_deadlines(without_bound, &schedule, now));
    assert!(meets_deadlines(admission(1, 16, now), &schedule, now));
}
