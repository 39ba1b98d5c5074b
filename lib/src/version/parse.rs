//! Parses the environment's document from its INI text.
//!
//! Every error is reported with its line, and no part of an invalid document takes effect.

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

/// All errors in a document's text.
pub type DocumentErrors = IniErrors;

/// The file name in error messages about a text that was not read from a file.
const UNNAMED_DOCUMENT: &str = "document";

/// The prefix of the sections that hold services.
pub const SERVICE_PREFIX: &str = "service.";
/// The prefix of the sections that hold client accounts.
pub const ACCOUNT_PREFIX: &str = "account.";

/// The deadline of a request that sets none, if the service's section has none either.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// The limit of requests in flight at one target, if the service's section has none.
pub const DEFAULT_IN_FLIGHT_LIMIT_REQUESTS: u32 = 64;
/// The weight of an account whose section has none.
pub const DEFAULT_WEIGHT: u32 = 1;

const MIN_DEADLINE: Duration = Duration::from_millis(100);
const MAX_DEADLINE: Duration = Duration::from_secs(600);
const MAX_IN_FLIGHT_LIMIT_REQUESTS: u32 = 10_000;
const MAX_HOSTS_PER_REPLICA: u32 = 64;
const MAX_REPLICAS: u32 = 10_000;
const MAX_WEIGHT: u32 = 1000;
const MAX_RATE: RequestRate = RequestRate(100_000.0);
const MIN_RATE: RequestRate = RequestRate(0.001);
const MIN_PRESENCE_BOUND: Duration = Duration::from_millis(200);
const MAX_PRESENCE_BOUND: Duration = Duration::from_secs(30);
const MIN_SILENCE_BOUND: Duration = Duration::from_millis(200);
const MAX_SILENCE_BOUND: Duration = Duration::from_secs(60);
const MIN_LEASE_TERM: Duration = Duration::from_secs(2);
const MAX_LEASE_TERM: Duration = Duration::from_secs(120);
const MIN_REPAIR_DELAY: Duration = Duration::from_secs(1);
const MAX_REPAIR_DELAY: Duration = Duration::from_secs(600);
const MAX_CONCURRENT_LOADS_LIMIT: u32 = 1000;

/// Parses a document whose text was not read from a file.
pub fn parse_document(text: &str) -> Result<Document, DocumentErrors> {
    parse_document_file(UNNAMED_DOCUMENT, text)
}

/// Parses a document; error messages name `file` in their locations.
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
    let name = section.parse_name_suffix(SERVICE_PREFIX);
    let kind = section.required("kind");
    let kind = kind.and_then(|kind| read_kind(section, kind));
    let operations = read_operations(section, kind.as_ref());
    let service = Service {
        name: name?,
        kind: kind?,
        operations,
        default_deadline: section.optional_in_range_or(
            "default-deadline",
            DEFAULT_DEADLINE,
            MIN_DEADLINE..=MAX_DEADLINE,
        ),
        in_flight_limit_requests: section.optional_in_range_or(
            "in-flight-limit-requests",
            DEFAULT_IN_FLIGHT_LIMIT_REQUESTS,
            1..=MAX_IN_FLIGHT_LIMIT_REQUESTS,
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
            let hosts = section.required_in_range("hosts-per-replica", 1..=MAX_HOSTS_PER_REPLICA);
            let replicas = section.optional_in_range("replicas", 1..=MAX_REPLICAS);
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
    let non_idempotent = section.optional::<Vec<OperationId>>("non-idempotent-operations");
    let mut operations = SortedVec::new();
    let idempotent = idempotent.unwrap_or_default().into_iter();
    let non_idempotent = non_idempotent.unwrap_or_default().into_iter();
    let idempotent = idempotent.map(|name| (name, true));
    for (name, is_idempotent) in idempotent.chain(non_idempotent.map(|name| (name, false))) {
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
    let name = section.parse_name_suffix(ACCOUNT_PREFIX);
    let credential_digest = section.required("credential-digest");
    let rate_limit = section.required_in_range("rate-limit", MIN_RATE..=MAX_RATE);
    let weight = section.optional_in_range_or("weight", DEFAULT_WEIGHT, 1..=MAX_WEIGHT);
    let highest_priority = section.optional_or("highest-priority", Priority::default());
    Some(Account {
        name: name?,
        credential_digest: credential_digest?,
        weight,
        rate_limit: rate_limit?,
        highest_priority,
    })
}

/// Reports a credential that an earlier account has too, since it would not distinguish callers.
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
        presence_bound: section.optional_in_range_or(
            "presence-bound",
            defaults.presence_bound,
            MIN_PRESENCE_BOUND..=MAX_PRESENCE_BOUND,
        ),
        affinity_excess: section.optional_or("affinity-excess", defaults.affinity_excess),
        ejected_limit: section.optional_in_range_or(
            "ejected-limit",
            defaults.ejected_limit,
            Share::default()..=Share::from_percent(50),
        ),
        silence_bound: section.optional_in_range_or(
            "silence-bound",
            defaults.silence_bound,
            MIN_SILENCE_BOUND..=MAX_SILENCE_BOUND,
        ),
    };
    reader.finish_section(section);
    routing
}

fn read_retries(reader: &mut IniReader) -> RetrySettings {
    let defaults = RetrySettings::default();
    let mut section = reader.take_section("retries");
    let max = Share::from_percent(50);
    let budget = section.optional_in_range_or("budget", defaults.budget, Share::default()..=max);
    reader.finish_section(section);
    RetrySettings { budget }
}

fn read_placement(reader: &mut IniReader, routing: &RoutingSettings) -> PlacementSettings {
    let defaults = PlacementSettings::default();
    let mut section = reader.take_section("placement");
    let placement = PlacementSettings {
        goal: section.optional_or("goal", defaults.goal),
        lease_term: section.optional_in_range_or(
            "lease-term",
            defaults.lease_term,
            MIN_LEASE_TERM..=MAX_LEASE_TERM,
        ),
        repair_delay: section.optional_in_range_or(
            "repair-delay",
            defaults.repair_delay,
            MIN_REPAIR_DELAY..=MAX_REPAIR_DELAY,
        ),
        concurrent_loads_limit: section.optional_in_range_or(
            "concurrent-loads-limit",
            defaults.concurrent_loads_limit,
            1..=MAX_CONCURRENT_LOADS_LIMIT,
        ),
    };
    check_repair_delay(&mut section, &placement, routing);
    reader.finish_section(section);
    placement
}

/// Reports a repair delay below the presence bound, with which a repair could start while the group
/// is still open.
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
