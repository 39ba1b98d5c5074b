//! Tests of the detection of connections that silently stopped delivering data.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::silence::ConnectionId;
use beryltray_lib::connection::silence::SilenceAction;
use beryltray_lib::connection::silence::SilenceDetector;

const BOUND: Duration = Duration::from_secs(3);
const FIRST: ConnectionId = ConnectionId(1);
const SECOND: ConnectionId = ConnectionId(2);

fn detector_with_two_connections(now: Instant) -> SilenceDetector {
    let mut detector = SilenceDetector::new(BOUND);
    detector.on_opened(FIRST, now);
    detector.on_opened(SECOND, now);
    detector.on_request_sent(FIRST, true, now);
    detector
}

#[test]
fn on_tick_silence_below_bound_opens_no_probe() {
    let now = Instant::now();
    let mut detector = detector_with_two_connections(now);
    assert_eq!(detector.on_tick(now + BOUND / 2), None);
    detector.on_bytes_received(FIRST, now + BOUND / 2);
    assert_eq!(detector.on_tick(now + BOUND), None);
    assert_eq!(detector.next_tick(), Some(now + BOUND / 2 + BOUND));
}

#[test]
fn on_probe_answered_drops_connections_older_than_probe() {
    let now = Instant::now() + BOUND;
    let mut detector = detector_with_two_connections(now - BOUND);
    assert_eq!(detector.on_tick(now), Some(SilenceAction::OpenProbe));
    assert_eq!(detector.on_tick(now), None);
    let later = now + Duration::from_millis(10);
    detector.on_opened(ConnectionId(3), later);
    let connections = vec![FIRST, SECOND];
    let draining = Vec::new();
    let dropped = SilenceAction::DropConnections {
        connections,
        draining,
    };
    assert_eq!(detector.on_probe_answered(later), Some(dropped));
    assert_eq!(detector.on_tick(later + 2 * BOUND), None);
}

#[test]
fn on_probe_failed_suspects_target_and_delays_next_probe() {
    let now = Instant::now() + BOUND;
    let mut detector = detector_with_two_connections(now - BOUND);
    detector.on_tick(now);
    assert_eq!(
        detector.on_probe_failed(now),
        Some(SilenceAction::SuspectTarget)
    );
    assert_eq!(detector.on_tick(now), None);
    assert_eq!(
        detector.on_tick(now + BOUND),
        Some(SilenceAction::OpenProbe)
    );
}

#[test]
fn on_probe_answered_after_data_received_drops_nothing() {
    let now = Instant::now() + BOUND;
    let mut detector = detector_with_two_connections(now - BOUND);
    detector.on_tick(now);
    let later = now + Duration::from_millis(10);
    detector.on_bytes_received(FIRST, later);
    assert_eq!(detector.on_probe_answered(later), None);
}

#[test]
fn on_probe_answered_keeps_connection_of_unrestartable_request() {
    let now = Instant::now() + BOUND;
    let mut detector = detector_with_two_connections(now - BOUND);
    detector.on_request_sent(SECOND, false, now - BOUND);
    detector.on_tick(now);
    let connections = vec![FIRST];
    let draining = vec![SECOND];
    let dropped = SilenceAction::DropConnections {
        connections,
        draining,
    };
    assert_eq!(detector.on_probe_answered(now), Some(dropped));
}
