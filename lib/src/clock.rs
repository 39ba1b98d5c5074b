//! The clock, passed in as a trait so that tests decide the time.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// A source of the current time.
///
/// Decisions only ever compare monotonic times of one process. The wall clock is for logs and for
/// people; no decision depends on it, since the clocks of two hosts may disagree.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clock.
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

/// A clock that also counts the time in which the machine was suspended.
///
/// Leases and fences are judged by it: a steady clock that stands still in a suspend would let a
/// holder act on a lease that has long lapsed.
#[derive(Clone, Copy, Debug)]
pub struct BootTimeClock {
    origin: Instant,
    origin_since_boot: Duration,
}

impl BootTimeClock {
    /// Creates the clock, or returns the system's error if it has no boot-time clock.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            origin: Instant::now(),
            origin_since_boot: since_boot()?,
        })
    }
}

fn since_boot() -> std::io::Result<Duration> {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)?;
    Ok(Duration::from(time))
}

impl Clock for BootTimeClock {
    fn now(&self) -> Instant {
        // The clock was read at the start, so a later failure can't happen; the steady clock is
        // the nearest to the truth if it does.
        let elapsed = since_boot().map_or_else(
            |_| self.origin.elapsed(),
            |now| now.saturating_sub(self.origin_since_boot),
        );
        self.origin + elapsed
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
