//! Tests of connections that go silent while new ones work.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::silence::ConnectionNumber;
use beryltray_lib::connection::silence::PathWatch;
use beryltray_lib::connection::silence::SilenceAction;

const BOUND: Duration = Duration::from_secs(3);
const FIRST: ConnectionNumber = ConnectionNumber(1);
const SECOND: ConnectionNumber = ConnectionNumber(2);

fn watch_of_two(now: Instant) -> PathWatch {
    let mut watch = PathWatch::new(BOUND);
    watch.on_opened(FIRST, now);
    watch.on_opened(SECOND, now);
    watch.on_awaited(FIRST, true, now);
    watch
}

#[test]
fn silence_within_the_bound_is_nothing() {
    let now = Instant::now();
    let mut watch = watch_of_two(now);
    assert_eq!(watch.on_tick(now + BOUND / 2), None);
    watch.on_bytes(FIRST, now + BOUND / 2);
    assert_eq!(watch.on_tick(now + BOUND), None);
    assert_eq!(watch.next_tick(), Some(now + BOUND / 2 + BOUND));
}

#[test]
fn silence_new_connection_answers_drops_all_old_ones() {
    let now = Instant::now() + BOUND;
    let mut watch = watch_of_two(now - BOUND);
    assert_eq!(watch.on_tick(now), Some(SilenceAction::OpenProbe));
    assert_eq!(watch.on_tick(now), None);
    let later = now + Duration::from_millis(10);
    watch.on_opened(ConnectionNumber(3), later);
    let connections = vec![FIRST, SECOND];
    let retired = Vec::new();
    let dropped = SilenceAction::DropConnections {
        connections,
        retired,
    };
    assert_eq!(watch.on_probe_answered(later), Some(dropped));
    assert_eq!(watch.on_tick(later + 2 * BOUND), None);
}

#[test]
fn silence_new_connection_fails_suspects_the_target() {
    let now = Instant::now() + BOUND;
    let mut watch = watch_of_two(now - BOUND);
    watch.on_tick(now);
    assert_eq!(
        watch.on_probe_failed(now),
        Some(SilenceAction::SuspectTarget)
    );
    assert_eq!(watch.on_tick(now), None);
    assert_eq!(watch.on_tick(now + BOUND), Some(SilenceAction::OpenProbe));
}

#[test]
fn silence_target_spoke_meanwhile_drops_nothing() {
    let now = Instant::now() + BOUND;
    let mut watch = watch_of_two(now - BOUND);
    watch.on_tick(now);
    let later = now + Duration::from_millis(10);
    watch.on_bytes(FIRST, later);
    assert_eq!(watch.on_probe_answered(later), None);
}

#[test]
fn silence_unmovable_work_keeps_its_connection() {
    let now = Instant::now() + BOUND;
    let mut watch = watch_of_two(now - BOUND);
    watch.on_awaited(SECOND, false, now - BOUND);
    watch.on_tick(now);
    let connections = vec![FIRST];
    let retired = vec![SECOND];
    let dropped = SilenceAction::DropConnections {
        connections,
        retired,
    };
    assert_eq!(watch.on_probe_answered(now), Some(dropped));
}
