//! Value types that can be read from INI text.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::ids;
use crate::units;

/// A type that can be parsed from the value of a key and formatted as one.
pub trait IniValue: Sized {
    /// Returns a description of valid values for error messages, such as "a whole number".
    fn expected() -> String;

    /// Parses a value, or returns `None` if the text is not a valid value.
    fn parse_value(text: &str) -> Option<Self>;

    /// Formats a value so that [`IniValue::parse_value`] can parse it.
    fn format_value(&self) -> String;
}

macro_rules! from_str_values {
    ($($name:ty => $expected:expr;)*) => {
        $(impl IniValue for $name {
            fn expected() -> String {
                String::from($expected)
            }

            fn parse_value(text: &str) -> Option<Self> {
                text.parse::<$name>().ok()
            }

            fn format_value(&self) -> String {
                self.to_string()
            }
        })*
    };
}

const NAME: &str = "a name of 1 to 128 letters, digits, '-', '_', '.' and ':'";

from_str_values! {
    u16 => "a whole number from 0 to 65535";
    u32 => "a whole number";
    u64 => "a whole number";
    IpAddr => "an IP address, such as 127.0.0.1";
    SocketAddr => "an IP address with its port, such as 127.0.0.1:8080";
    ids::AccountId => NAME;
    ids::DataCentreId => NAME;
    ids::EntryId => NAME;
    ids::EnvironmentId => NAME;
    ids::FabricDomainId => NAME;
    ids::HostId => NAME;
    ids::OperationId => NAME;
    ids::RegionId => NAME;
    ids::ServiceId => NAME;
    ids::WeightsId => NAME;
    units::Allowance => "a number that is not negative, such as 130 or 39.5";
    units::AllowedShare => "a share, such as 12.5% or 0.125";
    units::TimeLimit => "a duration with its unit, such as 750ms, 5s or 2min";
    units::WaitTime => "a duration with its unit, such as 750ms, 5s or 2min";
    units::ByteCount => "a whole number with B, KiB, MiB or GiB, such as 64 KiB";
    units::CoreShare => "a number of cores, such as 0.25";
    units::RequestRate => "a number of requests per second above 0, such as 25/s";
    units::Share => "a share from 0% to 100%, such as 12.5% or 0.125";
    units::TokenCount => "a whole number of tokens, such as 4096 tokens";
}

impl IniValue for String {
    fn expected() -> String {
        String::from("a text that is not empty")
    }

    fn parse_value(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.to_owned())
    }

    fn format_value(&self) -> String {
        self.clone()
    }
}

impl IniValue for PathBuf {
    fn expected() -> String {
        String::from("the path of a file")
    }

    fn parse_value(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self::from(text))
    }

    fn format_value(&self) -> String {
        self.display().to_string()
    }
}

impl IniValue for bool {
    fn expected() -> String {
        String::from("yes or no")
    }

    fn parse_value(text: &str) -> Option<Self> {
        match text {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => None,
        }
    }

    fn format_value(&self) -> String {
        let text = if *self { "yes" } else { "no" };
        String::from(text)
    }
}

impl IniValue for Duration {
    fn expected() -> String {
        String::from("a duration with its unit, such as 750ms, 5s or 2min")
    }

    fn parse_value(text: &str) -> Option<Self> {
        units::parse_duration(text).ok()
    }

    fn format_value(&self) -> String {
        units::format_duration(*self)
    }
}

/// The length of a SHA-256 digest in hexadecimal digits.
const DIGEST_LENGTH_DIGITS: usize = 64;

impl IniValue for ids::Digest {
    fn expected() -> String {
        format!("a SHA-256 digest of {DIGEST_LENGTH_DIGITS} digits from 0 to 9 and a to f")
    }

    fn parse_value(text: &str) -> Option<Self> {
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        let is_digest = text.len() == DIGEST_LENGTH_DIGITS && text.chars().all(is_digit);
        is_digest.then(|| text.parse().ok()).flatten()
    }

    fn format_value(&self) -> String {
        self.to_string()
    }
}

/// A comma-separated list. An empty text is an empty list.
impl<T> IniValue for Vec<T>
where
    T: IniValue,
{
    fn expected() -> String {
        format!("a list with commas between, each item {}", T::expected())
    }

    fn parse_value(text: &str) -> Option<Self> {
        if text.is_empty() {
            return Some(Self::new());
        }
        text.split(',')
            .map(|item| T::parse_value(item.trim()))
            .collect()
    }

    fn format_value(&self) -> String {
        let items = self.iter().map(T::format_value).collect::<Vec<_>>();
        items.join(", ")
    }
}
