//! Clocks, injected through a trait so that tests can control the time.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// A source of the current time.
///
/// Decisions compare only monotonic times of the same process. Wall-clock time is used for logs and
/// display; no decision depends on it, because the clocks of two hosts may differ.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time, which may jump in either direction.
    fn wall_time(&self) -> SystemTime;
}

/// The system clock. Its monotonic time comes from [`Instant`] and may not advance while the
/// machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A monotonic clock that also advances while the machine is suspended (`CLOCK_BOOTTIME`).
///
/// Leases and fences use this clock. With a clock that stops during a suspend, a lease holder could
/// act after its lease has expired.
#[derive(Clone, Copy, Debug)]
pub struct BootTimeClock {
    origin: Instant,
    origin_since_boot: Duration,
}

impl BootTimeClock {
    /// Creates the clock, or returns the system's error if `CLOCK_BOOTTIME` is not available.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            origin: Instant::now(),
            origin_since_boot: time_since_boot()?,
        })
    }
}

fn time_since_boot() -> std::io::Result<Duration> {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)?;
    Ok(Duration::from(time))
}

impl Clock for BootTimeClock {
    fn now(&self) -> Instant {
        // `new` has read the boot-time clock, so reading it is not expected to fail here. If it does,
        // the monotonic clock is the closest approximation.
        let elapsed = time_since_boot().map_or_else(
            |_| self.origin.elapsed(),
            |now| now.saturating_sub(self.origin_since_boot),
        );
        self.origin + elapsed
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
