//! Tests of identifiers and units.

use std::time::Duration;

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::units::ByteCount;
use beryltray_lib::units::CoreShare;
use beryltray_lib::units::RequestRate;
use beryltray_lib::units::Share;
use beryltray_lib::units::parse_duration;

#[test]
fn host_id_parse_rejects_space() {
    let parsed = "host 1".parse::<HostId>();
    assert_eq!(parsed, Err(ParseIdError::InvalidCharacter { found: ' ' }));
}

#[test]
fn host_id_deserialize_rejects_empty() {
    assert!(serde_json::from_str::<HostId>("\"\"").is_err());
}

#[test]
fn byte_count_parse_reads_units() {
    assert_eq!("64 KiB".parse::<ByteCount>().unwrap(), ByteCount(65_536));
    assert!("64".parse::<ByteCount>().is_err());
}

#[test]
fn request_rate_parse_rejects_negative() {
    assert!("-3/s".parse::<RequestRate>().is_err());
    assert_eq!("25/s".parse::<RequestRate>().unwrap(), RequestRate(25.0));
}

#[test]
fn share_display_round_trips() {
    let share = "12.5%".parse::<Share>().unwrap();
    assert_eq!(share.to_string().parse::<Share>().unwrap(), share);
}

#[test]
fn parse_duration_requires_unit() {
    assert_eq!(parse_duration("750ms").unwrap(), Duration::from_millis(750));
    assert!(parse_duration("750").is_err());
}

#[test]
fn core_share_parse_reads_fractions() {
    let share = "0.25".parse::<CoreShare>().unwrap();
    assert_eq!(share, CoreShare { thousandths: 250 });
    assert_eq!(share.to_string(), "0.25");
    assert!("-1".parse::<CoreShare>().is_err());
    assert!("a core".parse::<CoreShare>().is_err());
}

#[test]
fn share_parse_reads_percentages_and_fractions() {
    let share = "0.125".parse::<Share>().unwrap();
    assert_eq!(share, "12.5%".parse::<Share>().unwrap());
    assert!("12.5".parse::<Share>().is_err());
    assert!("-0.1".parse::<Share>().is_err());
}
