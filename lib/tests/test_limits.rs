//! Tests of the accounts' rate limits, which the entries of a data centre share.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::process::limits::AccountLimits;
use beryltray_lib::process::limits::LimitMessage;
use beryltray_lib::process::limits::LimitSettings;
use beryltray_lib::units::RequestRate;
use beryltray_lib::version::document::Priority;
use beryltray_testutils::seeds::quickcheck_with_seed;

const ENTRIES: usize = 4;
const LIMIT_PER_S: f64 = 40.0;
const ROUND: Duration = Duration::from_millis(500);
const NO_GRANT_TIMEOUT: Duration = Duration::from_secs(100_000);
const TOLERANCE_PER_S: f64 = 1e-6;

fn account() -> AccountId {
    "lakes-transit".parse().unwrap()
}

fn entry(index: usize) -> EntryId {
    format!("entry-{index}").parse().unwrap()
}

fn settings(grant_timeout: Duration) -> LimitSettings {
    LimitSettings {
        grant_timeout,
        ..LimitSettings::default()
    }
}

fn limits(index: usize, settings: LimitSettings, now: Instant) -> AccountLimits {
    let mut limits = AccountLimits::new(entry(index), Incarnation(1), settings, now);
    limits.set_entry_count(ENTRIES, now);
    limits.set_limit(&account(), RequestRate(LIMIT_PER_S), now);
    limits
}

fn cluster(grant_timeout: Duration, now: Instant) -> Vec<AccountLimits> {
    let entries = 0..ENTRIES;
    entries
        .map(|index| limits(index, settings(grant_timeout), now))
        .collect()
}

fn usable_sum(cluster: &[AccountLimits]) -> f64 {
    let usable = cluster
        .iter()
        .filter_map(|limits| limits.usable_rate(&account()));
    usable.map(|rate| rate.0).sum()
}

/// The implementation under test: the library's limits or a faulty variant.
trait LimitSharing {
    fn send_requests(&mut self, requests: u8, now: Instant);
    fn next_message(&mut self, now: Instant) -> LimitMessage;
    fn on_message(&mut self, peer: &EntryId, message: &LimitMessage, now: Instant);
    fn usable_per_s(&self) -> f64;
}

impl LimitSharing for AccountLimits {
    fn send_requests(&mut self, requests: u8, now: Instant) {
        for _ in 0..requests {
            let _ = self.take(&account(), Priority::Normal, now);
        }
    }

    fn next_message(&mut self, now: Instant) -> LimitMessage {
        AccountLimits::next_message(self, now)
    }

    fn on_message(&mut self, peer: &EntryId, message: &LimitMessage, now: Instant) {
        AccountLimits::on_message(self, peer, message, now);
    }

    fn usable_per_s(&self) -> f64 {
        self.usable_rate(&account()).unwrap().0
    }
}

/// A faulty variant that divides the limit in proportion to the last received demands.
///
/// Without grants, entries with different views of the demands exceed the limit together.
struct ProportionalSharing {
    limits: AccountLimits,
    own_demand_per_s: f64,
    peer_demands_per_s: Vec<(EntryId, f64)>,
}

impl LimitSharing for ProportionalSharing {
    fn send_requests(&mut self, requests: u8, now: Instant) {
        self.limits.send_requests(requests, now);
    }

    fn next_message(&mut self, now: Instant) -> LimitMessage {
        let message = self.limits.next_message(now);
        self.own_demand_per_s = demand_of(&message);
        message
    }

    fn on_message(&mut self, peer: &EntryId, message: &LimitMessage, _now: Instant) {
        self.peer_demands_per_s.retain(|(known, _)| known != peer);
        self.peer_demands_per_s
            .push((peer.clone(), demand_of(message)));
    }

    fn usable_per_s(&self) -> f64 {
        let peer_demand_per_s: f64 = self
            .peer_demands_per_s
            .iter()
            .map(|(_, demand)| demand)
            .sum();
        let total_per_s = self.own_demand_per_s + peer_demand_per_s;
        if total_per_s > 0.0 {
            LIMIT_PER_S * self.own_demand_per_s / total_per_s
        } else {
            0.0
        }
    }
}

fn demand_of(message: &LimitMessage) -> f64 {
    let share = message.accounts.get(&account());
    share.map_or(0.0, |account| account.share.demand_per_s)
}

/// One step: the active entry, the number of its requests, and the deliveries (message, receiver).
type Step = (u8, u8, Vec<(u8, u8)>);

/// Delivers any of the earlier messages, so that some arrive late, repeatedly, out of order or
/// never.
fn deliver<S>(
    cluster: &mut [S],
    sent: &[(usize, LimitMessage)],
    deliveries: &[(u8, u8)],
    now: Instant,
) where
    S: LimitSharing,
{
    for (message, to) in deliveries {
        let (from, message) = &sent[usize::from(*message) % sent.len()];
        let to = usize::from(*to) % ENTRIES;
        if *from != to {
            cluster[to].on_message(&entry(*from), message, now);
        }
    }
}

/// Returns the maximum over all steps of the sum of the rates that the entries may admit.
fn max_rate_sum<S>(mut cluster: Vec<S>, steps: &[Step], start: Instant) -> f64
where
    S: LimitSharing,
{
    let mut now = start;
    let mut sent = Vec::new();
    let mut max_sum = 0.0_f64;
    for (active, requests, deliveries) in steps {
        now += ROUND;
        let active = usize::from(*active) % ENTRIES;
        cluster[active].send_requests(*requests, now);
        sent.push((active, cluster[active].next_message(now)));
        deliver(&mut cluster, &sent, deliveries, now);
        max_sum = max_sum.max(cluster.iter().map(LimitSharing::usable_per_s).sum());
    }
    max_sum
}

fn is_within_limit(sum_per_s: f64) -> bool {
    sum_per_s <= LIMIT_PER_S + TOLERANCE_PER_S
}

/// Sends one message per entry and delivers those for which `is_delivered(from, to)` is true.
fn exchange<F>(cluster: &mut [AccountLimits], is_delivered: F, now: Instant)
where
    F: Fn(usize, usize) -> bool,
{
    let messages: Vec<_> = cluster
        .iter_mut()
        .map(|limits| limits.next_message(now))
        .collect();
    for (from, message) in messages.iter().enumerate() {
        for (to, limits) in cluster.iter_mut().enumerate() {
            if from != to && is_delivered(from, to) {
                limits.on_message(&entry(from), message, now);
            }
        }
    }
}

/// Runs rounds with full delivery in which only entry 0 has demand.
fn run_with_demand_at_entry_0(cluster: &mut [AccountLimits], rounds: u32, now: &mut Instant) {
    for _ in 0..rounds {
        *now += ROUND;
        for _ in 0..20 {
            let _ = cluster[0].take(&account(), Priority::Normal, *now);
        }
        exchange(cluster, |_, _| true, *now);
    }
}

#[test]
fn limit_sum_holds_over_lost_late_and_repeated_messages() {
    fn sum_holds(steps: Vec<Step>) -> bool {
        let now = Instant::now();
        // Without a grant timeout, messages may be arbitrarily late.
        let cluster = cluster(NO_GRANT_TIMEOUT, now);
        is_within_limit(max_rate_sum(cluster, &steps, now))
    }
    quickcheck_with_seed(41, 400).quickcheck(sum_holds as fn(Vec<Step>) -> bool);
}

#[test]
fn limit_by_raw_demand_is_caught() {
    fn sum_holds(steps: Vec<Step>) -> bool {
        let now = Instant::now();
        let cluster =
            cluster(NO_GRANT_TIMEOUT, now)
                .into_iter()
                .map(|limits| ProportionalSharing {
                    limits,
                    own_demand_per_s: 0.0,
                    peer_demands_per_s: Vec::new(),
                });
        is_within_limit(max_rate_sum(cluster.collect(), &steps, now))
    }
    let property = sum_holds as fn(Vec<Step>) -> bool;
    assert!(quickcheck_with_seed(41, 400).quicktest(property).is_err());
}

#[test]
fn limit_shares_follow_demand() {
    let mut now = Instant::now();
    let mut cluster = cluster(Duration::from_secs(3), now);
    run_with_demand_at_entry_0(&mut cluster, 20, &mut now);
    let usable = cluster[0].usable_rate(&account()).unwrap();
    assert!(usable.0 > 0.95 * LIMIT_PER_S);
    assert!(is_within_limit(usable_sum(&cluster)));
}

#[test]
fn limit_without_messages_returns_to_equal_part() {
    let mut now = Instant::now();
    let mut cluster = cluster(Duration::from_secs(3), now);
    run_with_demand_at_entry_0(&mut cluster, 20, &mut now);
    for _ in 0..20 {
        now += ROUND;
        exchange(&mut cluster, |_, _| false, now);
        assert!(is_within_limit(usable_sum(&cluster)));
    }
    for limits in &cluster {
        let usable = limits.usable_rate(&account()).unwrap();
        assert_eq!(usable.0, LIMIT_PER_S / ENTRIES as f64);
    }
}

/// Without a grant timeout, an entry without contact keeps less than its equal part.
#[test]
fn limit_without_fallback_is_caught() {
    let mut now = Instant::now();
    let mut cluster = cluster(NO_GRANT_TIMEOUT, now);
    run_with_demand_at_entry_0(&mut cluster, 20, &mut now);
    now += 100 * ROUND;
    exchange(&mut cluster, |_, _| false, now);
    let starved = cluster[1].usable_rate(&account()).unwrap();
    assert!(starved.0 < LIMIT_PER_S / ENTRIES as f64);
}

#[test]
fn limit_emergency_overdraft_is_bounded() {
    let now = Instant::now();
    let mut limits = limits(0, LimitSettings::default(), now);
    let part = LIMIT_PER_S as usize / ENTRIES;
    let admitted_count = |limits: &mut AccountLimits, priority| {
        let takes = (0..100).map(|_| limits.take(&account(), priority, now));
        takes.filter(Result::is_ok).count()
    };
    assert_eq!(admitted_count(&mut limits, Priority::Normal), part);
    assert_eq!(admitted_count(&mut limits, Priority::Emergency), part);
    assert!(limits.take(&account(), Priority::Normal, now).is_err());
}

/// A peer's state may be sent again with a newer echo. If the echo were ignored because the message
/// is not newer, the grantor would not get back the rate of a revoked grant until the peer's state
/// changes.
#[test]
fn limit_echo_in_repeated_message_is_applied() {
    let mut now = Instant::now();
    let mut first = limits(0, settings(NO_GRANT_TIMEOUT), now);
    let mut second = limits(1, settings(NO_GRANT_TIMEOUT), now);
    now += ROUND;
    second.send_requests(200, now);
    let busy = second.next_message(now);
    first.on_message(&entry(1), &busy, now);
    let granting = first.next_message(now);
    assert!(first.usable_per_s() < LIMIT_PER_S / ENTRIES as f64);
    second.on_message(&entry(0), &granting, now);
    now += 100 * ROUND;
    let idle = second.next_message(now);
    first.on_message(&entry(1), &idle, now);
    let revoking = first.next_message(now);
    let usable_before_echo = first.usable_per_s();
    second.on_message(&entry(0), &revoking, now);
    // Same message of the second entry, but with an echo of the reduced grant.
    let mut repeated = idle.clone();
    repeated.echoes = second.next_message(now).echoes;
    first.on_message(&entry(1), &repeated, now);
    assert!(first.usable_per_s() > usable_before_echo);
    assert_eq!(first.usable_per_s(), LIMIT_PER_S / ENTRIES as f64);
}
