//! Tests of the boot-time clock, on which leases and fences depend.

use beryltray_lib::clock::BootTimeClock;
use beryltray_lib::clock::Clock as _;

#[test]
fn boot_time_clock_is_monotonic() {
    let clock = BootTimeClock::new().unwrap();
    let first = clock.now();
    let copy = clock;
    let times: Vec<_> = (0..1_000).map(|_| copy.now()).collect();
    assert!(times.is_sorted());
    assert!(times[0] >= first);
    assert!(times[999] > first);
}
