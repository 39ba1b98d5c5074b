//! Generates the changes of an entry's own state in each round.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::ids::TargetId;
use beryltray_lib::ids::digest_of;
use beryltray_lib::process::exchange::StateExchange;
use beryltray_lib::process::exchange::value::QuantisedRate;
use beryltray_lib::process::exchange::value::QuantisedSummary;
use beryltray_lib::process::exchange::value::QuantisedValue;
use beryltray_lib::process::limits::AccountLimits;
use beryltray_lib::process::limits::LimitSettings;
use beryltray_lib::request::target_load::SendTotals;
use beryltray_lib::target::wire::GroupMembership;
use beryltray_lib::target::wire::HostReport;
use beryltray_lib::target::wire::LoadReport;
use beryltray_lib::units::RequestRate;
use beryltray_lib::units::Share;
use beryltray_lib::version::document::Priority;
use beryltray_lib::version::head::HeadMark;
use rand::RngExt as _;
use rand::rngs::StdRng;

/// Hosts per replica group.
const HOSTS_PER_GROUP: usize = 4;
/// Services per environment.
const SERVICES: usize = 4;
/// Time that a request spends at its target.
const REQUEST_TIME_S: f64 = 8.0;
/// Rate limit of each account, chosen so that entries need grants.
const ACCOUNT_LIMIT_PER_S: f64 = 60.0;

/// Generator of the polls, requests and limit messages of one entry.
#[derive(Debug)]
pub(super) struct EntryLoadGenerator {
    hosts: Vec<HostId>,
    /// Replica groups with the counts of the requests that this entry sent to them.
    targets: Vec<(TargetId, SendTotals)>,
    accounts: Vec<AccountId>,
    limits: AccountLimits,
    /// Request rate of the entry.
    requests_per_s: f64,
}

impl EntryLoadGenerator {
    /// Creates a generator with `hosts` hosts and `accounts` accounts, whose limits are shared by
    /// `entries` entries. Fails if a generated identifier is invalid.
    pub(super) fn new(
        exchange: &StateExchange,
        hosts: usize,
        entries: usize,
        accounts: usize,
        requests_per_s: f64,
        now: Instant,
    ) -> Result<Self, ParseIdError> {
        let own = &exchange.own().identity;
        let hosts: Result<Vec<HostId>, _> =
            (0..hosts).map(|i| format!("host-{i:04}").parse()).collect();
        let hosts = hosts?;
        let groups = hosts.len() / HOSTS_PER_GROUP;
        let targets: Result<Vec<_>, ParseIdError> = (0..groups)
            .map(|i| Ok((format!("writers-{i:03}").parse()?, SendTotals::default())))
            .collect();
        let accounts: Result<Vec<AccountId>, _> = (0..accounts)
            .map(|i| format!("account-{i:03}").parse())
            .collect();
        let accounts = accounts?;
        let settings = LimitSettings::default();
        let mut limits = AccountLimits::new(own.entry.clone(), own.incarnation, settings, now);
        limits.set_entry_count(entries, now);
        for account in &accounts {
            limits.set_limit(account, RequestRate(ACCOUNT_LIMIT_PER_S), now);
        }
        Ok(Self {
            hosts,
            targets: targets?,
            accounts,
            limits,
            requests_per_s,
        })
    }

    /// Applies the polls, requests and limit messages of one round to the entry's state.
    pub(super) fn advance_round(
        &mut self,
        exchange: &mut StateExchange,
        rng: &mut StdRng,
        round: Duration,
        now: Instant,
    ) {
        let polled: Vec<HostId> = {
            let polled = exchange.hosts_to_poll(&self.hosts, now);
            polled.into_iter().cloned().collect()
        };
        for host in &polled {
            exchange.set_report(&random_host_report(host, rng), now);
        }
        self.send_requests(exchange, rng, round, now);
        let message = self.limits.next_message(now);
        exchange.set_limits(&message);
        for service in 0..SERVICES {
            let summary = QuantisedSummary {
                serving_targets: 20,
                spare_requests: QuantisedValue::nearest(rng.random_range(10.0..200.0)),
                queue_wait_ms: QuantisedValue::nearest(rng.random_range(1.0..40.0)),
                finish_rate: QuantisedRate::nearest(12.0),
            };
            if let Ok(service) = format!("service-{service}").parse() {
                exchange.set_summary(&service, summary);
            }
        }
    }

    /// Processes the limit message in the state of `peer`, if there is one.
    pub(super) fn on_peer_update(
        &mut self,
        exchange: &StateExchange,
        peer: &beryltray_lib::ids::EntryId,
        now: Instant,
    ) {
        if let Some(message) = exchange.limit_message(peer) {
            self.limits.on_message(peer, &message, now);
        }
    }

    fn send_requests(
        &mut self,
        exchange: &mut StateExchange,
        rng: &mut StdRng,
        round: Duration,
        now: Instant,
    ) {
        let requests = self.requests_per_s * round.as_secs_f64() * rng.random_range(0.8..1.2);
        let groups = self.targets.len();
        for _ in 0..requests.round() as u64 {
            let account = rng.random_range(0..self.accounts.len());
            let admission = self
                .limits
                .take(&self.accounts[account], Priority::Normal, now);
            if admission.is_ok() {
                self.targets[rng.random_range(0..groups)].1.sent_requests += 1;
            }
        }
        let finish_share = (round.as_secs_f64() / REQUEST_TIME_S).min(1.0);
        for (target, totals) in &mut self.targets {
            let in_flight = totals.in_flight_requests() as f64;
            totals.finished_requests += (in_flight * finish_share).round() as u64;
            exchange.set_sends(target, *totals);
        }
    }
}

/// Returns the head mark of a document version; the digest is derived from the version.
pub(super) fn head_mark(version: u64) -> HeadMark {
    HeadMark {
        version: DocumentVersion(version),
        digest: digest_of(&version.to_le_bytes()),
    }
}

fn random_host_report(host: &HostId, rng: &mut StdRng) -> HostReport {
    let membership = "writers-000".parse().ok().map(|group| GroupMembership {
        group,
        generation: Generation(7),
        rank: 1,
        is_ready: true,
    });
    HostReport {
        host: host.clone(),
        incarnation: Incarnation(1_700_000_000_000),
        membership,
        loaded_weights: "beryl-70b-v3".parse().into_iter().collect(),
        is_leaving: false,
        load: LoadReport {
            queued_requests: rng.random_range(0..6),
            running_requests: rng.random_range(10..48),
            batch_limit_requests: 64,
            generated_tokens_per_s: rng.random_range(500.0..2500.0),
            time_per_token_ms: rng.random_range(18.0..45.0),
            cache_used: Share::from_percent(rng.random_range(30..95)),
        },
        highest_epoch: Epoch(12),
    }
}
