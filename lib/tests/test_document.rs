//! Tests of parsing, checking and writing the environment's document.

use beryltray_lib::ids::DataCentreId;
use beryltray_lib::ids::Digest;
use beryltray_lib::ids::digest_of;
use beryltray_lib::ini::IniError;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::version::document::Document;
use beryltray_lib::version::document::PlacementGoal;
use beryltray_lib::version::parse::parse_document;
use beryltray_lib::version::parse::parse_document_file;
use beryltray_lib::version::placement_check::PlacementProblem;
use beryltray_lib::version::placement_check::placement_problems;
use beryltray_lib::version::write::write_document;

const COMMONS: &str = include_str!("../../docs/examples/commons.ini");
const PRITCHARD: &str = include_str!("../../docs/examples/pritchard.ini");

fn document(text: &str) -> Document {
    parse_document(text).unwrap()
}

fn error_lines(text: &str) -> Vec<usize> {
    let errors = parse_document(text).unwrap_err().errors;
    errors.iter().map(|error| error.location().line).collect()
}

fn line_of(text: &str, start: &str) -> usize {
    1 + text
        .lines()
        .position(|line| line.starts_with(start))
        .unwrap()
}

#[test]
fn parse_examples_have_placement_goal_of_their_operators() {
    assert_eq!(
        document(COMMONS).placement.goal,
        PlacementGoal::LessDowntime
    );
    assert_eq!(
        document(PRITCHARD).placement.goal,
        PlacementGoal::FewerStranded
    );
}

#[test]
fn parse_examples_bookings_and_orders_are_not_idempotent() {
    for (text, service, operation) in [
        (COMMONS, "slot-ledger", "book-slot"),
        (PRITCHARD, "order-desk", "raise-order"),
    ] {
        let document = document(text);
        let service = document.services.get(&service.parse().unwrap()).unwrap();
        assert!(!service.is_idempotent(&operation.parse().unwrap()));
    }
}

#[test]
fn parse_examples_have_digest_of_credential_named_after_account() {
    for text in [COMMONS, PRITCHARD] {
        let document = document(text);
        assert_eq!(document.accounts.len(), 10);
        for account in document.accounts.iter() {
            let credential = format!("example-{}", account.name);
            let digest: Digest = digest_of(credential.as_bytes());
            assert_eq!(account.credential_digest, digest);
        }
    }
}

#[test]
fn write_examples_parse_back_to_equal_document() {
    for text in [COMMONS, PRITCHARD] {
        let written = write_document(&document(text));
        assert_eq!(document(&written), document(text));
        assert_eq!(write_document(&document(&written)), written);
    }
}

#[test]
fn parse_misspelt_key_reports_line_and_suggestion() {
    let text = COMMONS.replace("hosts-per-replica", "hosts-per-replicas");
    let errors = parse_document_file("commons.ini", &text).unwrap_err();
    let message = errors.to_string();
    let line = line_of(&text, "hosts-per-replicas");
    assert!(message.contains(&format!(
        "commons.ini:{line}: unknown key `hosts-per-replicas`"
    )));
    assert!(message.contains("did you mean `hosts-per-replica`?"));
}

#[test]
fn parse_invalid_units_and_ranges_reports_each_line() {
    let text = COMMONS
        .replace("default-deadline = 20s", "default-deadline = 20")
        .replace("ejected-limit = 20%", "ejected-limit = 90%")
        .replace("repair-delay = 4s", "repair-delay = 1s")
        .replace("goal = less-downtime", "goal = cheapest");
    let expected = [
        line_of(&text, "default-deadline"),
        line_of(&text, "ejected-limit"),
        line_of(&text, "goal"),
        line_of(&text, "repair-delay"),
    ];
    assert_eq!(error_lines(&text), expected);
}

#[test]
fn parse_shared_credential_is_conflict() {
    let digest = digest_of(b"example-ferry-signs").to_string();
    let other = digest_of(b"example-campus-walls").to_string();
    let errors = parse_document(&COMMONS.replace(&other, &digest)).unwrap_err();
    assert!(matches!(&errors.errors[..], [IniError::Conflict { .. }]));
}

#[test]
fn parse_operation_in_both_lists_is_conflict() {
    let text = COMMONS.replace("list-slots, read-schedule", "list-slots, book-slot");
    let errors = parse_document(&text).unwrap_err();
    assert!(matches!(&errors.errors[..], [IniError::Conflict { .. }]));
}

fn hosts(service: &str, domains: &[(&str, usize)]) -> Vec<ListedHost> {
    let data_centre: DataCentreId = "lakes-a".parse().unwrap();
    let of_domain = |(domain, count): &(&str, usize)| {
        let hosts = (0..*count).map(|index| ListedHost {
            host: format!("{service}-{domain}-{index}").parse().unwrap(),
            service: service.parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: data_centre.clone(),
            domain: domain.parse().unwrap(),
            state: ListedState::Live,
        });
        hosts.collect::<Vec<_>>()
    };
    domains.iter().flat_map(of_domain).collect()
}

#[test]
fn placement_replicas_do_not_span_domains() {
    let document = document(COMMONS);
    let ledger = hosts("slot-ledger", &[("d1", 1)]);
    let enough = hosts("beryl-writers", &[("d1", 11), ("d2", 12)]);
    let too_few = hosts("beryl-writers", &[("d1", 11), ("d2", 11)]);
    let problems =
        |model: Vec<ListedHost>| placement_problems(&document, &[model, ledger.clone()].concat());
    assert!(problems(enough).is_empty());
    let problems = problems(too_few);
    assert!(
        matches!(
            &problems[..],
            [PlacementProblem::TooFewHosts {
                requested_replicas: 5,
                possible_replicas: 4,
                ..
            }]
        ),
        "{problems:?}"
    );
}

#[test]
fn placement_leaving_hosts_do_not_count() {
    let document = document(PRITCHARD);
    let mut desk = hosts("order-desk", &[("d1", 3)]);
    let drafters = hosts("beryl-drafters", &[("d1", 4)]);
    desk.iter_mut()
        .for_each(|host| host.state = ListedState::Leaving);
    let problems = placement_problems(&document, &[desk, drafters].concat());
    assert!(matches!(&problems[..], [PlacementProblem::NoHosts { .. }]));
}
