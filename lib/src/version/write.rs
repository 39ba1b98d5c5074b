//! Writes a document as canonical INI text, with every key in a fixed order.
//!
//! [`super::parse::parse_document`] parses the text back to an equal document, so that two
//! documents differ in meaning exactly if their canonical texts differ.

use crate::ini::IniValue;

use super::document::Account;
use super::document::Document;
use super::document::Operation;
use super::document::PlacementSettings;
use super::document::RetrySettings;
use super::document::RoutingSettings;
use super::document::Service;
use super::document::ServiceKind;
use super::document_values::KindName;
use super::parse::ACCOUNT_PREFIX;
use super::parse::SERVICE_PREFIX;

/// Returns the canonical text of a document.
pub fn write_document(document: &Document) -> String {
    let mut writer = Writer::default();
    for service in document.services.iter() {
        writer.service(service);
    }
    for account in document.accounts.iter() {
        writer.account(account);
    }
    writer.routing(&document.routing);
    writer.retries(&document.retries);
    writer.placement(&document.placement);
    writer.text
}

#[derive(Default)]
struct Writer {
    text: String,
}

impl Writer {
    fn section(&mut self, name: &str) {
        if !self.text.is_empty() {
            self.text.push('\n');
        }
        self.text.push_str(&format!("[{name}]\n"));
    }

    fn key<T>(&mut self, key: &str, value: &T)
    where
        T: IniValue,
    {
        let value = value.format_value();
        self.text.push_str(&format!("{key} = {value}\n"));
    }

    fn service(&mut self, service: &Service) {
        self.section(&format!("{SERVICE_PREFIX}{}", service.name));
        self.key("kind", &KindName::from(&service.kind));
        self.kind(&service.kind);
        self.operations("idempotent-operations", service, true);
        self.operations("non-idempotent-operations", service, false);
        self.key("default-deadline", &service.default_deadline);
        self.key(
            "in-flight-limit-requests",
            &service.in_flight_limit_requests,
        );
        self.key("trusted-refusals", &service.has_trusted_refusals);
    }

    fn kind(&mut self, kind: &ServiceKind) {
        let ServiceKind::Model {
            weights,
            hosts_per_replica,
            replicas,
            has_fenced_orders,
        } = kind
        else {
            return;
        };
        self.key("weights", weights);
        self.key("hosts-per-replica", hosts_per_replica);
        if let Some(replicas) = replicas {
            self.key("replicas", replicas);
        }
        self.key("fenced-orders", has_fenced_orders);
    }

    fn operations(&mut self, key: &str, service: &Service, is_idempotent: bool) {
        let has_idempotency = |operation: &&Operation| operation.is_idempotent == is_idempotent;
        let operations = service.operations.iter().filter(has_idempotency);
        let names = operations.map(|operation| operation.name.clone());
        let names = names.collect::<Vec<_>>();
        if !names.is_empty() {
            self.key(key, &names);
        }
    }

    fn account(&mut self, account: &Account) {
        self.section(&format!("{ACCOUNT_PREFIX}{}", account.name));
        self.key("credential-digest", &account.credential_digest);
        self.key("rate-limit", &account.rate_limit);
        self.key("weight", &account.weight);
        self.key("highest-priority", &account.highest_priority);
    }

    fn routing(&mut self, routing: &RoutingSettings) {
        self.section("routing");
        self.key("presence-bound", &routing.presence_bound);
        self.key("affinity-excess", &routing.affinity_excess);
        self.key("ejected-limit", &routing.ejected_limit);
        self.key("silence-bound", &routing.silence_bound);
    }

    fn retries(&mut self, retries: &RetrySettings) {
        self.section("retries");
        self.key("budget", &retries.budget);
    }

    fn placement(&mut self, placement: &PlacementSettings) {
        self.section("placement");
        self.key("goal", &placement.goal);
        self.key("lease-term", &placement.lease_term);
        self.key("repair-delay", &placement.repair_delay);
        self.key("concurrent-loads-limit", &placement.concurrent_loads_limit);
    }
}
