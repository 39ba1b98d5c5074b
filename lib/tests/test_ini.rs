//! Tests of the INI reader, which must report every error with its line.

use std::time::Duration;

use beryltray_lib::ini::IniError;
use beryltray_lib::ini::IniErrors;
use beryltray_lib::ini::IniReader;

const PERIOD_MIN: Duration = Duration::from_millis(100);
const PERIOD_MAX: Duration = Duration::from_secs(60);

fn read(text: &str) -> Result<(Duration, Option<u32>), IniErrors> {
    let mut reader = IniReader::parse("a.ini", text);
    let mut section = reader.take_section("timing");
    let period =
        section.optional_in_range_or("period", Duration::from_secs(1), PERIOD_MIN..=PERIOD_MAX);
    let count = section.required::<u32>("count");
    reader.finish_section(section);
    reader.finish().map(|()| (period, count))
}

fn error_lines(text: &str) -> Vec<usize> {
    let errors = read(text).unwrap_err().errors;
    errors.iter().map(|error| error.location().line).collect()
}

#[test]
fn read_complete_returns_values() {
    let values = read("# what it does\n[timing]\nperiod = 5s\ncount = 3\n").unwrap();
    assert_eq!(values, (Duration::from_secs(5), Some(3)));
}

#[test]
fn read_absent_optional_returns_default() {
    assert_eq!(
        read("[timing]\ncount=3").unwrap(),
        (Duration::from_secs(1), Some(3))
    );
}

#[test]
fn read_misspelt_key_reports_line_and_suggestion() {
    let message = read("[timing]\ncount = 3\n\nperoid = 5s\n")
        .unwrap_err()
        .to_string();
    assert!(message.starts_with("a.ini:4: unknown key `peroid` in [timing]"));
    assert!(message.ends_with("Hint: did you mean `period`?"));
}

#[test]
fn read_several_errors_reports_each() {
    let text =
        "stray = 1\n[timing]\nperiod = 2h\ncount = few\ncount = 4\nnonsense\n[timing]\n[timings]\n";
    assert_eq!(error_lines(text), [1, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn read_missing_section_reports_missing_key() {
    let errors = read("# nothing\n").unwrap_err().errors;
    assert!(matches!(&errors[..], [IniError::MissingKey { key, .. }] if key == "count"));
}

#[test]
fn read_list_splits_at_commas() {
    let mut reader = IniReader::parse("a.ini", "[a]\nseeds = 127.0.0.1:1, 127.0.0.1:2\n");
    let mut section = reader.take_section("a");
    let seeds = section.required::<Vec<std::net::SocketAddr>>("seeds");
    reader.finish_section(section);
    reader.finish().unwrap();
    assert_eq!(seeds.unwrap().len(), 2);
}

#[test]
fn take_sections_keeps_order() {
    let mut reader = IniReader::parse("a.ini", "[service.b]\n[account.x]\n[service.a]\n");
    let services = reader.take_sections("service.");
    let names = services
        .iter()
        .map(|section| section.name().to_owned())
        .collect::<Vec<_>>();
    assert_eq!(names, ["service.b", "service.a"]);
    assert!(reader.finish().is_err());
}
