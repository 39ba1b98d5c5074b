//! Generates the failures of one data centre's hosts and applies them to the simulated fleet.

use std::time::Duration;

use beryltray_lib::ids::FabricDomainId;
use beryltray_lib::ids::HostId;
use beryltray_lib::platform::ListedState;
use beryltray_stand_ins::fleet::Fleet;

use super::simulation::Random;

const DAY: Duration = Duration::from_secs(24 * 3600);
/// On an ordinary day, 26 of 2,450 hosts fail for hours.
const FAILURES_PER_HOST_DAY: f64 = 26.0 / 2450.0;
/// On an ordinary day, 120 of 2,450 hosts are restarted or replaced.
const RESTARTS_PER_HOST_DAY: f64 = 120.0 / 2450.0;
/// Pauses in which a host neither sends reports nor receives orders, mostly for less than a minute.
/// The host keeps its state.
const PAUSES_PER_HOST_DAY: f64 = 0.02;
/// Time from the mark as leaving to the stop of the host.
const LEAVING_NOTICE: Duration = Duration::from_secs(60);
const RESTART_MEAN: Duration = Duration::from_secs(300);
const REPAIR_MEAN: Duration = Duration::from_secs(6 * 3600);
const PAUSE_MEAN: Duration = Duration::from_secs(12);
const DOMAIN_OUTAGE_TIME: Duration = Duration::from_secs(1800);
const PLATFORM_OUTAGE_TIME: Duration = Duration::from_secs(1800);

/// Failure or recovery in the fleet.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A host is marked as leaving.
    MarkLeaving(HostId),
    /// A host stops.
    Kill(HostId),
    /// A stopped host starts, without weights in memory.
    Restart(HostId),
    /// A host keeps running, but its reports and its orders are lost.
    PartitionHost(HostId),
    /// A partitioned host is reachable again.
    ReconnectHost(HostId),
    /// The switch of a domain fails: all hosts of the domain are partitioned.
    PartitionDomain(FabricDomainId),
    /// The switch of the domain works again.
    ReconnectDomain(FabricDomainId),
    /// The platform's placement table becomes unreachable.
    PlatformOutageStart,
    /// The platform's placement table is reachable again.
    PlatformOutageEnd,
}

/// Failure rates of a trace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rates {
    /// Length of the trace.
    pub(super) days: u32,
    /// Factor on the host failure rates of an ordinary day.
    pub(super) rate_factor: f64,
    /// Number of switch failures, of half an hour each.
    pub(super) domain_outages: usize,
    /// Number of platform outages, of half an hour each.
    pub(super) platform_outages: usize,
}

impl Rates {
    pub(super) fn duration(&self) -> Duration {
        DAY * self.days
    }
}

/// Events with their times since the start, in order of time.
pub(super) type Trace = Vec<(Duration, Event)>;

/// Generates the trace of a fleet; the same seed gives the same trace.
pub(super) fn generate_trace(fleet: &Fleet, rates: &Rates, seed: u64) -> Trace {
    let mut random = Random::new(seed);
    let mut trace = Trace::new();
    for host in fleet.hosts() {
        push_failures(&mut trace, host.name(), rates, &mut random);
        push_restarts(&mut trace, host.name(), rates, &mut random);
        push_pauses(&mut trace, host.name(), rates, &mut random);
    }
    for _ in 0..rates.domain_outages {
        let host = &fleet.hosts()[random.below(fleet.hosts().len())];
        let domain = host.listed.domain.clone();
        let at = rates.duration().mul_f64(random.fraction());
        trace.push((at, Event::PartitionDomain(domain.clone())));
        trace.push((at + DOMAIN_OUTAGE_TIME, Event::ReconnectDomain(domain)));
    }
    for outage in 0..rates.platform_outages {
        let share = (outage as f64 + random.fraction() / 2.0) / rates.platform_outages as f64;
        let at = rates.duration().mul_f64(share);
        trace.push((at, Event::PlatformOutageStart));
        trace.push((at + PLATFORM_OUTAGE_TIME, Event::PlatformOutageEnd));
    }
    trace.sort_by_key(|(at, _)| *at);
    trace
}

fn event_times(per_day: f64, rates: &Rates, random: &mut Random) -> Vec<Duration> {
    let rate_per_s = per_day * rates.rate_factor / DAY.as_secs_f64();
    let mut event_times = Vec::new();
    let mut at = random.interarrival_time(rate_per_s);
    while at < rates.duration() {
        event_times.push(at);
        at += random.interarrival_time(rate_per_s);
    }
    event_times
}

fn random_duration(mean: Duration, random: &mut Random) -> Duration {
    Duration::from_secs_f64(random.exponential(mean.as_secs_f64()).max(1.0))
}

fn push_failures(trace: &mut Trace, host: &HostId, rates: &Rates, random: &mut Random) {
    for at in event_times(FAILURES_PER_HOST_DAY, rates, random) {
        trace.push((at, Event::Kill(host.clone())));
        let end = at + random_duration(REPAIR_MEAN, random);
        trace.push((end, Event::Restart(host.clone())));
    }
}

/// Adds restarts. Half of them are announced: their hosts are marked as leaving first.
fn push_restarts(trace: &mut Trace, host: &HostId, rates: &Rates, random: &mut Random) {
    for at in event_times(RESTARTS_PER_HOST_DAY, rates, random) {
        if random.below(2) == 0 {
            trace.push((at, Event::MarkLeaving(host.clone())));
        }
        let at = at + LEAVING_NOTICE;
        trace.push((at, Event::Kill(host.clone())));
        let end = at + random_duration(RESTART_MEAN, random);
        trace.push((end, Event::Restart(host.clone())));
    }
}

fn push_pauses(trace: &mut Trace, host: &HostId, rates: &Rates, random: &mut Random) {
    for at in event_times(PAUSES_PER_HOST_DAY, rates, random) {
        trace.push((at, Event::PartitionHost(host.clone())));
        let end = at + random_duration(PAUSE_MEAN, random);
        trace.push((end, Event::ReconnectHost(host.clone())));
    }
}

/// Applies an event to the fleet. Platform outages have no effect on it.
pub(super) fn apply_event(fleet: &mut Fleet, event: &Event) {
    match event {
        Event::MarkLeaving(host) => {
            if let Some(host) = fleet.host_mut(host).filter(|host| host.is_up()) {
                host.is_leaving = true;
                host.listed.state = ListedState::Leaving;
            }
        }
        Event::Kill(host) => {
            if let Some(host) = fleet.host_mut(host) {
                host.kill();
            }
        }
        Event::Restart(host) => {
            if let Some(host) = fleet.host_mut(host).filter(|host| !host.is_up()) {
                host.restart();
            }
        }
        Event::PartitionHost(host) => set_partitioned(fleet, host, true),
        Event::ReconnectHost(host) => set_partitioned(fleet, host, false),
        Event::PartitionDomain(domain) => set_domain_partitioned(fleet, domain, true),
        Event::ReconnectDomain(domain) => set_domain_partitioned(fleet, domain, false),
        Event::PlatformOutageStart | Event::PlatformOutageEnd => {}
    }
}

fn set_partitioned(fleet: &mut Fleet, host: &HostId, is_partitioned: bool) {
    if let Some(host) = fleet.host_mut(host) {
        host.is_partitioned = is_partitioned;
    }
}

fn set_domain_partitioned(fleet: &mut Fleet, domain: &FabricDomainId, is_partitioned: bool) {
    let hosts = fleet.hosts().iter();
    let members = hosts.filter(|host| &host.listed.domain == domain);
    let members: Vec<HostId> = members.map(|host| host.name().clone()).collect();
    for host in members {
        set_partitioned(fleet, &host, is_partitioned);
    }
}
