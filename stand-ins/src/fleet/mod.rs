//! A simulation of the hosts of one data centre, on a clock that the caller advances.
//!
//! [`Fleet`] applies the orders of a placement machine, stores its rows in a [`TableState`] and
//! determines from the state of the hosts which groups serve. It has no sockets and no tasks, so
//! that tests and experiments can simulate days of failures in seconds.

mod host;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::DataCentreId;
use beryltray_lib::ids::EnvironmentId;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::FabricDomainId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::ids::Revision;
use beryltray_lib::ids::ServiceId;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::platform::Check;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Condition;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::platform::Put;
use beryltray_lib::platform::Row;
use beryltray_lib::platform::Transaction;
use beryltray_lib::platform::rows::AssignmentRow;
use beryltray_lib::platform::rows::GroupRow;
use beryltray_lib::platform::rows::assignment_prefix;
use beryltray_lib::platform::rows::group_prefix;
use beryltray_lib::platform::rows::lease_key;
use beryltray_lib::process::lease::Fence;
use beryltray_lib::process::placement::HostOrder;
use beryltray_lib::process::placement::HostView;
use beryltray_lib::process::placement::PlacementInput;
use beryltray_lib::process::placement::Versioned;
use beryltray_lib::process::substitution::substitution_of;
use beryltray_lib::sorted::SortedVec;
use beryltray_lib::version::document::Document;

pub use host::FleetHost;

use crate::platform::table::TableState;

/// Age of the reports of reachable hosts.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Validity of a fence of the fleet's lease.
const FENCE_DURATION: Duration = Duration::from_secs(8);

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The environment in the keys of the rows.
    pub environment: EnvironmentId,
    /// The data centre of all hosts.
    pub data_centre: DataCentreId,
    /// The service that all hosts are reserved for.
    pub service: ServiceId,
    /// The number of hosts in each fabric domain; the domains are named `domain-0` and so on.
    pub domains: Vec<usize>,
    /// The duration of a load at the weight store's full rate.
    pub load_time: Duration,
    /// The number of concurrent loads that the weight store serves at its full rate; more loads are
    /// slower.
    pub full_rate_loads: usize,
}

/// The hosts of one data centre, and the table rows that assign them to groups.
#[derive(Clone, Debug)]
pub struct Fleet {
    settings: FleetSettings,
    hosts: Vec<FleetHost>,
    table: TableState,
    groups: SortedVec<Versioned<GroupRow>>,
    assignments: SortedVec<Versioned<AssignmentRow>>,
    now: Instant,
    epoch: Epoch,
    last_attempt: u64,
}

impl Fleet {
    /// Creates a fleet whose hosts are all up, without loaded weights.
    ///
    /// Fails if a generated name is not a valid identifier.
    pub fn new(settings: FleetSettings, now: Instant) -> Result<Self, ParseIdError> {
        let mut hosts = Vec::new();
        for (domain, count) in settings.domains.iter().enumerate() {
            let domain = format!("domain-{domain}").parse::<FabricDomainId>()?;
            for _ in 0..*count {
                let host = format!("host-{:03}", hosts.len()).parse::<HostId>()?;
                let listed = ListedHost {
                    host,
                    service: settings.service.clone(),
                    address: SocketAddr::from(([127, 0, 0, 1], 0)),
                    data_centre: settings.data_centre.clone(),
                    domain: domain.clone(),
                    state: ListedState::Live,
                };
                hosts.push(FleetHost::new(listed, now));
            }
        }
        let mut fleet = Self {
            settings,
            hosts,
            table: TableState::default(),
            groups: SortedVec::new(),
            assignments: SortedVec::new(),
            now,
            epoch: Epoch::default(),
            last_attempt: 0,
        };
        fleet.take_over()?;
        Ok(fleet)
    }

    /// Returns a new attempt identifier, which is unique in the fleet.
    pub fn next_attempt_id(&mut self) -> Result<AttemptId, ParseIdError> {
        self.last_attempt += 1;
        format!("attempt-{}", self.last_attempt).parse()
    }

    /// Increments the epoch of the lease and writes its row, like a takeover by another entry.
    pub fn take_over(&mut self) -> Result<(), ParseIdError> {
        self.epoch = self.epoch.next();
        let key = lease_key(&self.settings.environment, &self.settings.data_centre);
        let value = self.epoch.to_string();
        let attempt = self.next_attempt_id()?;
        self.table.commit(&Transaction {
            attempt,
            checks: Vec::new(),
            puts: vec![Put { key, value }],
            deletes: Vec::new(),
        });
        Ok(())
    }

    /// Returns the fence of the current lease holder. It expires 8 s from now.
    pub fn fence(&self) -> Fence {
        let key = lease_key(&self.settings.environment, &self.settings.data_centre);
        let row = self.table.read(std::slice::from_ref(&key)).pop().flatten();
        let revision = row.map_or(Revision::default(), |row| row.revision);
        let condition = Condition::Revision(revision);
        Fence {
            epoch: self.epoch,
            check: Check { key, condition },
            expires_at: self.now + FENCE_DURATION,
        }
    }

    /// Returns the current time of the simulation.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Advances the time by `step`. Concurrent loads share the weight store's rate.
    pub fn advance(&mut self, step: Duration) {
        self.now += step;
        let loading = self.hosts.iter().filter(|host| host.is_loading()).count();
        let slowdown = loading
            .max(1)
            .div_ceil(self.settings.full_rate_loads.max(1));
        let slowdown = u32::try_from(slowdown).unwrap_or(u32::MAX);
        for host in &mut self.hosts {
            host.advance(self.now, step / slowdown, self.settings.load_time);
        }
    }

    /// Returns the current input of a placement decision.
    pub fn placement_input(&self, document: &Document) -> PlacementInput {
        let views = self.hosts.iter().map(|host| self.host_view(host));
        PlacementInput {
            document: document.clone(),
            hosts: views.collect(),
            groups: self.groups.clone(),
            assignments: self.assignments.clone(),
        }
    }

    /// Commits a transaction to the table, and reads the rows of the groups and assignments.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let outcome = self.table.commit(transaction);
        let (environment, data_centre) = (&self.settings.environment, &self.settings.data_centre);
        let groups = self.table.scan(&group_prefix(environment, data_centre));
        let assignments = self
            .table
            .scan(&assignment_prefix(environment, data_centre));
        self.groups = groups.iter().filter_map(parse_row).collect();
        self.assignments = assignments.iter().filter_map(parse_row).collect();
        outcome
    }

    /// Delivers an order to its host. Does nothing if the fleet does not have the host.
    pub fn apply_order(&mut self, order: &HostOrder) {
        if let Some(host) = self.host_mut(&order.host) {
            host.apply_order(&order.order);
        }
    }

    /// Returns all hosts, also those that do not run.
    pub fn hosts(&self) -> &[FleetHost] {
        &self.hosts
    }

    /// Returns a host by name, to change it; `None` if the fleet does not have it.
    pub fn host_mut(&mut self, host: &HostId) -> Option<&mut FleetHost> {
        self.hosts.iter_mut().find(|known| known.name() == host)
    }

    /// Returns the table's rows of the groups that have members.
    pub fn groups(&self) -> Vec<GroupRow> {
        self.groups_with_members().cloned().collect()
    }

    /// Returns the number of groups in the table that have members.
    pub fn placed_groups(&self) -> usize {
        self.groups_with_members().count()
    }

    /// Returns the number of groups whose members all serve in the same generation, by the actual
    /// state of the hosts.
    pub fn serving_groups(&self) -> usize {
        self.groups_with_members()
            .filter(|row| self.is_serving(row))
            .count()
    }

    /// Returns the number of groups that could be formed of the available hosts, with each group in
    /// one domain.
    pub fn possible_groups(&self, hosts_per_group: usize) -> usize {
        let fit = self.hosts.iter().filter(|host| host.is_available());
        let mut domains: Vec<&FabricDomainId> = fit.map(|host| &host.listed.domain).collect();
        domains.sort();
        let domains = domains.chunk_by(|a, b| a == b);
        domains.map(|hosts| hosts.len() / hosts_per_group).sum()
    }

    fn groups_with_members(&self) -> impl Iterator<Item = &GroupRow> {
        let rows = self.groups.iter().map(|group| &group.value);
        rows.filter(|row| !row.members.is_empty())
    }

    /// Returns the number of hosts that are loading weights.
    pub fn loading_hosts(&self) -> usize {
        self.hosts.iter().filter(|host| host.is_loading()).count()
    }

    /// Returns the number of hosts that run.
    pub fn powered_hosts(&self) -> usize {
        self.hosts.iter().filter(|host| host.is_up()).count()
    }

    fn is_serving(&self, row: &GroupRow) -> bool {
        let generations = self
            .hosts
            .iter()
            .filter_map(|host| host.generation_in(&row.group));
        let mut substitutions = generations.filter_map(|found| substitution_of(row, found));
        let serves = |generation, members: &[HostId]| {
            let mut ranked = (0_u32..).zip(members);
            ranked.all(|(rank, member)| {
                let host = self.hosts.iter().find(|host| host.name() == member);
                host.is_some_and(|host| host.serves(&row.group, generation, rank))
            })
        };
        serves(row.generation, &row.members)
            || substitutions.any(|found| serves(found.generation, &found.members))
    }

    fn host_view(&self, host: &FleetHost) -> HostView {
        let is_reachable = host.is_up() && !host.is_partitioned;
        let silence = self.now.saturating_duration_since(host.last_report_at());
        HostView {
            listed: host.listed.clone(),
            report: host.last_report().cloned(),
            report_age: if is_reachable {
                REPORT_LAG
            } else {
                silence + REPORT_LAG
            },
            is_leaving: host.is_leaving,
            is_unreachable: false,
        }
    }
}

fn parse_row<T>(row: &Row) -> Option<Versioned<T>>
where
    T: serde::de::DeserializeOwned,
{
    let value = serde_json::from_str(&row.value).ok()?;
    let revision = row.revision;
    Some(Versioned { value, revision })
}

/// Returns whether each host is a member or reserved spare at most once, and the members of each
/// group are in one domain.
pub fn is_placement_valid(groups: &[GroupRow], hosts: &[FleetHost]) -> bool {
    let named = groups
        .iter()
        .flat_map(|row| row.members.iter().chain(&row.reserved_spares));
    let mut named: Vec<&HostId> = named.collect();
    let count = named.len();
    named.sort();
    named.dedup();
    let domain_of = |host: &HostId| {
        let found = hosts.iter().find(|known| known.name() == host);
        found.map(|known| &known.listed.domain)
    };
    let spans_one = groups.iter().all(|row| {
        let mut domains = row.members.iter().map(domain_of);
        let first = domains.next();
        domains.all(|domain| Some(domain) == first)
    });
    named.len() == count && spans_one
}

/// Returns a document with one model service; `replicas` is `None` for as many as the hosts allow.
pub fn fleet_document(
    service: ServiceId,
    weights: WeightsId,
    hosts_per_replica: u32,
    replicas: Option<u32>,
) -> Document {
    use beryltray_lib::version::document::Service;
    use beryltray_lib::version::document::ServiceKind;
    let service = Service {
        name: service,
        kind: ServiceKind::Model {
            weights,
            hosts_per_replica,
            replicas,
            has_fenced_orders: true,
        },
        operations: SortedVec::new(),
        default_deadline: Duration::from_secs(20),
        in_flight_limit_requests: 48,
        has_trusted_refusals: false,
    };
    Document {
        services: [service].into_iter().collect(),
        ..Document::default()
    }
}
