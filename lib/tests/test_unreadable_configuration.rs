//! Tests of what is known of a configuration that can't be read.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::feed::RecordSource;
use beryltray_lib::process::unreadable_configuration::ConfigurationRead;
use beryltray_lib::process::unreadable_configuration::ReadabilityChange;
use beryltray_lib::process::unreadable_configuration::UnreadableConfiguration;

/// How long the platform is read after another entry could not read the newest version.
const PLATFORM_READ_TIME: Duration = Duration::from_secs(5);

/// An answer of the platform at this revision without a configuration, to an entry that has read version
/// 3 and all up to revision 7.
fn read(revision: u64) -> ConfigurationRead {
    ConfigurationRead {
        source: RecordSource::Platform,
        revision: Revision(revision),
        is_unreadable: false,
        version: None,
        known_revision: Some(Revision(7)),
        known_version: Some(DocumentVersion(3)),
    }
}

fn unreadable(revision: u64) -> ConfigurationRead {
    ConfigurationRead {
        is_unreadable: true,
        ..read(revision)
    }
}

fn readable(revision: u64, version: u64) -> ConfigurationRead {
    ConfigurationRead {
        version: Some(DocumentVersion(version)),
        ..read(revision)
    }
}

fn relayed(revision: u64, version: u64) -> ConfigurationRead {
    ConfigurationRead {
        source: RecordSource::Entry("127.0.0.1:9".parse().unwrap()),
        ..readable(revision, version)
    }
}

/// An entry that can't read the version at revision 8.
fn unreadable_at_8() -> UnreadableConfiguration {
    let mut configuration = UnreadableConfiguration::default();
    let change = configuration.on_read(&unreadable(8));
    assert_eq!(change, Some(ReadabilityChange::Lost));
    configuration
}

/// Guards against an end of the state by answers that say nothing of the configuration.
#[test]
fn on_read_without_configuration_leaves_it_unreadable() {
    let mut configuration = unreadable_at_8();
    for revision in [8, 9, 100] {
        assert_eq!(configuration.on_read(&read(revision)), None);
        assert!(configuration.is_unreadable());
    }
}

/// Guards against an end of the state by a version that was written before the unreadable one, at a copy
/// of the platform that lags.
#[test]
fn on_read_of_version_at_earlier_revision_leaves_it_unreadable() {
    let mut configuration = unreadable_at_8();
    assert_eq!(configuration.on_read(&readable(7, 3)), None);
    assert!(configuration.is_unreadable());
}

/// Guards against a state without an end: the operator may write any version, also the one in force.
#[test]
fn on_read_of_version_at_later_revision_ends_it() {
    for version in [2, 3, 4] {
        let mut configuration = unreadable_at_8();
        let change = configuration.on_read(&readable(9, version));
        assert_eq!(change, Some(ReadabilityChange::Regained));
        assert!(!configuration.is_unreadable());
        assert_eq!(configuration.on_read(&readable(10, version)), None);
    }
}

/// Guards against the word of an entry of an earlier version of the program, which has skipped the version
/// that it can't read either.
#[test]
fn on_read_of_known_version_from_entry_leaves_it_unreadable() {
    let mut configuration = unreadable_at_8();
    assert_eq!(configuration.on_read(&relayed(9, 3)), None);
    assert!(configuration.is_unreadable());
    let change = configuration.on_read(&relayed(9, 4));
    assert_eq!(change, Some(ReadabilityChange::Regained));
}

/// Guards against an entry that takes its version for outdated because a copy of the platform that lags
/// still has an unreadable one that was replaced.
#[test]
fn on_read_of_unreadable_version_at_earlier_revision_is_skipped() {
    let mut configuration = UnreadableConfiguration::default();
    assert_eq!(configuration.on_read(&unreadable(6)), None);
    assert!(!configuration.is_unreadable());
}

/// Guards against a second unreadable version that ends with a version from before it.
#[test]
fn on_read_of_several_unreadable_versions_ends_after_last() {
    let mut configuration = unreadable_at_8();
    assert_eq!(configuration.on_read(&unreadable(12)), None);
    assert_eq!(configuration.on_read(&readable(10, 5)), None);
    let change = configuration.on_read(&readable(13, 6));
    assert_eq!(change, Some(ReadabilityChange::Regained));
}

/// Guards against an entry that asks others again and again which can't read the newest version.
#[test]
fn must_read_platform_while_unreadable_here_or_elsewhere() {
    let now = Instant::now();
    let mut configuration = unreadable_at_8();
    assert!(configuration.must_read_platform(now));
    configuration.on_read(&readable(9, 4));
    assert!(!configuration.must_read_platform(now));
    configuration.on_unreadable_elsewhere(now);
    assert!(!configuration.is_unreadable());
    assert!(configuration.must_read_platform(now));
    assert!(!configuration.must_read_platform(now + PLATFORM_READ_TIME));
}
