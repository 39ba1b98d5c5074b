//! Reads the environment's document from its INI text.
//!
//! A document is read whole or not at all: every fault is reported with its line, and nothing of a
//! faulty document takes effect.

use std::time::Duration;

use crate::ids::OperationId;
use crate::ids::WeightsId;
use crate::ini::IniErrors;
use crate::ini::IniReader;
use crate::ini::SectionReader;
use crate::sorted::SortedVec;
use crate::units::RequestRate;
use crate::units::Share;

use super::document::Account;
use super::document::Document;
use super::document::Operation;
use super::document::PlacementSettings;
use super::document::Priority;
use super::document::RetrySettings;
use super::document::RoutingSettings;
use super::document::Service;
use super::document::ServiceKind;
use super::document_values::KindName;
use super::document_values::MODEL_OPERATION;

/// All faults of a document's text.
pub type DocumentErrors = IniErrors;

/// The name that messages give a text which did not come from a file.
const UNNAMED_DOCUMENT: &str = "document";

/// The prefix of the sections that hold services.
pub const SERVICE_PREFIX: &str = "service.";
/// The prefix of the sections that hold client accounts.
pub const ACCOUNT_PREFIX: &str = "account.";

/// The deadline of a request that names none, if the service's section names none either.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// The most requests in flight at one target, if the service's section names none.
pub const DEFAULT_IN_FLIGHT_LIMIT_REQUESTS: u32 = 64;
/// The weight of an account whose section names none.
pub const DEFAULT_WEIGHT: u32 = 1;

const DEADLINE_LEAST: Duration = Duration::from_millis(100);
const DEADLINE_MOST: Duration = Duration::from_secs(600);
const IN_FLIGHT_LIMIT_MOST_REQUESTS: u32 = 10_000;
const HOSTS_PER_REPLICA_MOST: u32 = 64;
const REPLICAS_MOST: u32 = 10_000;
const WEIGHT_MOST: u32 = 1000;
const RATE_MOST: RequestRate = RequestRate(100_000.0);
const RATE_LEAST: RequestRate = RequestRate(0.001);
const PRESENCE_BOUND_LEAST: Duration = Duration::from_millis(200);
const PRESENCE_BOUND_MOST: Duration = Duration::from_secs(30);
const SILENCE_BOUND_LEAST: Duration = Duration::from_millis(200);
const SILENCE_BOUND_MOST: Duration = Duration::from_secs(60);
const LEASE_TERM_LEAST: Duration = Duration::from_secs(2);
const LEASE_TERM_MOST: Duration = Duration::from_secs(120);
const REPAIR_DELAY_LEAST: Duration = Duration::from_secs(1);
const REPAIR_DELAY_MOST: Duration = Duration::from_secs(600);
const LOADS_MOST: u32 = 1000;

/// Reads a document whose text did not come from a file.
pub fn parse_document(text: &str) -> Result<Document, DocumentErrors> {
    parse_document_file(UNNAMED_DOCUMENT, text)
}

/// Reads a document; messages give `file` as the place.
pub fn parse_document_file(file: &str, text: &str) -> Result<Document, DocumentErrors> {
    let mut reader = IniReader::parse(file, text);
    let routing = read_routing(&mut reader);
    let document = Document {
        services: read_services(&mut reader),
        accounts: read_accounts(&mut reader),
        retries: read_retries(&mut reader),
        placement: read_placement(&mut reader, &routing),
        routing,
    };
    reader.finish().map(|()| document)
}

fn read_services(reader: &mut IniReader) -> SortedVec<Service> {
    let mut services = SortedVec::new();
    for mut section in reader.take_sections(SERVICE_PREFIX) {
        if let Some(service) = read_service(&mut section) {
            services.insert(service);
        }
        reader.finish_section(section);
    }
    services
}

fn read_service(section: &mut SectionReader) -> Option<Service> {
    let name = section.name_after(SERVICE_PREFIX);
    let kind = section.required("kind");
    let kind = kind.and_then(|kind| read_kind(section, kind));
    let operations = read_operations(section, kind.as_ref());
    let service = Service {
        name: name?,
        kind: kind?,
        operations,
        default_deadline: section.optional_in(
            "default-deadline",
            DEFAULT_DEADLINE,
            DEADLINE_LEAST..=DEADLINE_MOST,
        ),
        in_flight_limit_requests: section.optional_in(
            "in-flight-limit-requests",
            DEFAULT_IN_FLIGHT_LIMIT_REQUESTS,
            1..=IN_FLIGHT_LIMIT_MOST_REQUESTS,
        ),
        has_trusted_refusals: section.optional_or("trusted-refusals", false),
    };
    Some(service)
}

fn read_kind(section: &mut SectionReader, kind: KindName) -> Option<ServiceKind> {
    match kind {
        KindName::Plain => Some(ServiceKind::Plain),
        KindName::Model => {
            let weights = section.required::<WeightsId>("weights");
            let hosts = section.required_in("hosts-per-replica", 1..=HOSTS_PER_REPLICA_MOST);
            let replicas = section.optional_within("replicas", 1..=REPLICAS_MOST);
            let has_fenced_orders = section.optional_or("fenced-orders", false);
            Some(ServiceKind::Model {
                weights: weights?,
                hosts_per_replica: hosts?,
                replicas,
                has_fenced_orders,
            })
        }
    }
}

fn read_operations(
    section: &mut SectionReader,
    kind: Option<&ServiceKind>,
) -> SortedVec<Operation> {
    let idempotent = section.optional::<Vec<OperationId>>("idempotent-operations");
    let others = section.optional::<Vec<OperationId>>("non-idempotent-operations");
    let mut operations = SortedVec::new();
    let idempotent = idempotent.unwrap_or_default().into_iter();
    let others = others.unwrap_or_default().into_iter();
    let marked = idempotent.map(|name| (name, true));
    for (name, is_idempotent) in marked.chain(others.map(|name| (name, false))) {
        let operation = Operation {
            name: name.clone(),
            is_idempotent,
        };
        if operations.insert(operation).is_some() {
            report_repeated_operation(section, &name);
        }
    }
    check_operations(section, kind, &operations);
    operations
}

fn report_repeated_operation(section: &mut SectionReader, name: &OperationId) {
    section.report_conflict(
        "non-idempotent-operations",
        &format!("each operation once, but `{name}` is named twice"),
        "an operation that may not be run twice belongs here alone",
    );
}

fn check_operations(
    section: &mut SectionReader,
    kind: Option<&ServiceKind>,
    operations: &SortedVec<Operation>,
) {
    let is_model = matches!(kind, Some(ServiceKind::Model { .. }));
    let is_chat = |operation: &Operation| operation.name.as_str() == MODEL_OPERATION;
    if is_model && !operations.iter().all(is_chat) {
        section.report_conflict(
            "idempotent-operations",
            &format!("`{MODEL_OPERATION}` alone, the one operation of a model service"),
            &format!("write `idempotent-operations = {MODEL_OPERATION}`"),
        );
    }
    if kind.is_some() && operations.is_empty() {
        section.report_conflict(
            "idempotent-operations",
            "at least one operation in idempotent-operations or non-idempotent-operations",
            "name the operations that callers ask for",
        );
    }
}

fn read_accounts(reader: &mut IniReader) -> SortedVec<Account> {
    let mut accounts = SortedVec::<Account>::new();
    for mut section in reader.take_sections(ACCOUNT_PREFIX) {
        if let Some(account) = read_account(&mut section) {
            check_credential(&mut section, &accounts, &account);
            accounts.insert(account);
        }
        reader.finish_section(section);
    }
    accounts
}

fn read_account(section: &mut SectionReader) -> Option<Account> {
    let name = section.name_after(ACCOUNT_PREFIX);
    let credential_digest = section.required("credential-digest");
    let rate_limit = section.required_in("rate-limit", RATE_LEAST..=RATE_MOST);
    let weight = section.optional_in("weight", DEFAULT_WEIGHT, 1..=WEIGHT_MOST);
    let highest_priority = section.optional_or("highest-priority", Priority::default());
    Some(Account {
        name: name?,
        credential_digest: credential_digest?,
        weight,
        rate_limit: rate_limit?,
        highest_priority,
    })
}

/// Reports a credential that an earlier account has too, since it would not tell the callers apart.
fn check_credential(section: &mut SectionReader, accounts: &SortedVec<Account>, account: &Account) {
    let is_same = |other: &&Account| other.credential_digest == account.credential_digest;
    if let Some(other) = accounts.iter().find(is_same) {
        section.report_conflict(
            "credential-digest",
            &format!(
                "a credential of its own, but account `{}` has it too",
                other.name
            ),
            "give each account another credential",
        );
    }
}

fn read_routing(reader: &mut IniReader) -> RoutingSettings {
    let defaults = RoutingSettings::default();
    let mut section = reader.take_section("routing");
    let routing = RoutingSettings {
        presence_bound: section.optional_in(
            "presence-bound",
            defaults.presence_bound,
            PRESENCE_BOUND_LEAST..=PRESENCE_BOUND_MOST,
        ),
        affinity_excess: section.optional_or("affinity-excess", defaults.affinity_excess),
        ejected_limit: section.optional_in(
            "ejected-limit",
            defaults.ejected_limit,
            Share::default()..=Share::from_percent(50),
        ),
        silence_bound: section.optional_in(
            "silence-bound",
            defaults.silence_bound,
            SILENCE_BOUND_LEAST..=SILENCE_BOUND_MOST,
        ),
    };
    reader.finish_section(section);
    routing
}

fn read_retries(reader: &mut IniReader) -> RetrySettings {
    let defaults = RetrySettings::default();
    let mut section = reader.take_section("retries");
    let most = Share::from_percent(50);
    let budget = section.optional_in("budget", defaults.budget, Share::default()..=most);
    reader.finish_section(section);
    RetrySettings { budget }
}

fn read_placement(reader: &mut IniReader, routing: &RoutingSettings) -> PlacementSettings {
    let defaults = PlacementSettings::default();
    let mut section = reader.take_section("placement");
    let placement = PlacementSettings {
        goal: section.optional_or("goal", defaults.goal),
        lease_term: section.optional_in(
            "lease-term",
            defaults.lease_term,
            LEASE_TERM_LEAST..=LEASE_TERM_MOST,
        ),
        repair_delay: section.optional_in(
            "repair-delay",
            defaults.repair_delay,
            REPAIR_DELAY_LEAST..=REPAIR_DELAY_MOST,
        ),
        concurrent_loads_limit: section.optional_in(
            "concurrent-loads-limit",
            defaults.concurrent_loads_limit,
            1..=LOADS_MOST,
        ),
    };
    check_repair_delay(&mut section, &placement, routing);
    reader.finish_section(section);
    placement
}

/// Reports a repair that would begin while the group may still serve.
fn check_repair_delay(
    section: &mut SectionReader,
    placement: &PlacementSettings,
    routing: &RoutingSettings,
) {
    if placement.repair_delay >= routing.presence_bound {
        return;
    }
    let bound = crate::units::format_duration(routing.presence_bound);
    section.report_conflict(
        "repair-delay",
        &format!("at least presence-bound of [routing], {bound}"),
        "repair a group only after a silent member has closed it",
    );
}
