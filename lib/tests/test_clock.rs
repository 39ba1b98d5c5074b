//! Tests of the clocks.

use beryltray_lib::clock::BootTimeClock;
use beryltray_lib::clock::Clock as _;

#[test]
fn clock_boot_time_goes_on_from_its_origin() {
    let clock = BootTimeClock::new().unwrap();
    let first = clock.now();
    let copy = clock;
    let times: Vec<_> = (0..1_000).map(|_| copy.now()).collect();
    assert!(times.is_sorted());
    assert!(times[0] >= first);
    assert!(times[999] > first);
}
