//! Newtypes for identifiers and version numbers.

use std::cmp::Ordering;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// The maximum length of a textual identifier, in bytes.
pub const ID_LENGTH_MAX_BYTES: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ParseIdError {
    /// The text is empty.
    #[display("the identifier is empty. Hint: give it 1 to {ID_LENGTH_MAX_BYTES} characters")]
    Empty,
    /// The text is longer than [`ID_LENGTH_MAX_BYTES`].
    #[display("the identifier has {length_bytes} bytes. Hint: shorten it to {ID_LENGTH_MAX_BYTES}")]
    TooLong {
        /// The length of the text, in bytes.
        length_bytes: usize,
    },
    /// The text contains a character other than an ASCII letter, a digit, `-`, `_`, `.` or `:`.
    #[display("the identifier holds {found:?}. Hint: use letters, digits, '-', '_', '.' and ':'")]
    InvalidCharacter {
        /// The first such character.
        found: char,
    },
    /// The text is not an unsigned 64-bit number.
    #[display("{text:?} is not a whole number. Hint: use digits only")]
    NotANumber {
        /// The invalid text.
        text: String,
    },
    /// The text is not a whole number that fits 128 bits.
    #[display("{text:?} is not the ID of an event. Hint: use digits only")]
    NotAnEventId {
        /// The invalid text.
        text: String,
    },
    /// The text is not a hexadecimal number of up to 32 digits.
    #[display("{text:?} is not hexadecimal. Hint: use up to 32 digits and letters a to f")]
    NotHexadecimal {
        /// The invalid text.
        text: String,
    },
}

fn check_text(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > ID_LENGTH_MAX_BYTES {
        let length_bytes = text.len();
        return Err(ParseIdError::TooLong { length_bytes });
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(found) => Err(ParseIdError::InvalidCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_text(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                check_text(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq,
            PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor, or the same value at the maximum.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let parsed = text.parse::<u64>();
                parsed.map(Self).map_err(|_| ParseIdError::NotANumber { text: text.to_owned() })
            }
        }
    };
}

text_id!(
    /// The name of an environment, such as `trial` or `production`.
    EnvironmentId
);
text_id!(
    /// The name of a region, which holds one or more data centres.
    RegionId
);
text_id!(
    /// The name of a data centre, which is part of a region.
    DataCentreId
);
text_id!(
    /// The name of a fabric domain, a set of hosts that share a fast interconnect.
    FabricDomainId
);
text_id!(
    /// The name of a host that runs a member of a replica group or a plain service.
    HostId
);
text_id!(
    /// The name of an entry, a host that runs one `beryltray entry` process.
    EntryId
);
text_id!(
    /// The name of a replica group, the hosts that together run one replica of a model.
    GroupId
);
text_id!(
    /// The name of a target in routing: a replica group or a host of a plain service.
    TargetId
);
text_id!(
    /// The name of a service, as callers request it.
    ServiceId
);
text_id!(
    /// The name of an operation of a service.
    OperationId
);
text_id!(
    /// The name of a client account.
    AccountId
);
text_id!(
    /// The name of a model's weights in the weight store.
    WeightsId
);
text_id!(
    /// The identifier of a caller's request, the same for all its attempts.
    RequestId
);
text_id!(
    /// The identifier of an attempt, which is one send of a request to a target or one table write.
    AttemptId
);
text_id!(
    /// The key with which a caller marks retries of the same non-idempotent request.
    IdempotencyKey
);
text_id!(
    /// A SHA-256 digest in lower-case hexadecimal.
    Digest
);

number_id!(
    /// The epoch of a placement lease, which identifies a holder and is the fencing token of its
    /// orders.
    Epoch
);
number_id!(
    /// The generation of a replica group, which increases with every change of its members.
    Generation
);
number_id!(
    /// The incarnation of a process, which increases with every restart.
    Incarnation
);
number_id!(
    /// The version of an environment's document, which only increases.
    DocumentVersion
);
number_id!(
    /// The revision of a row in the platform's table, which changes with every write to the row.
    Revision
);

/// The identifier of a part of a prompt, which many requests may share. It is written in
/// hexadecimal.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:x}")]
#[serde(try_from = "String", into = "String")]
pub struct PromptPartId(u128);

impl FromStr for PromptPartId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let not_hexadecimal = || ParseIdError::NotHexadecimal {
            text: text.to_owned(),
        };
        // `from_str_radix` also accepts a sign.
        if !text.starts_with(|c: char| c.is_ascii_hexdigit()) {
            return Err(not_hexadecimal());
        }
        let parsed = u128::from_str_radix(text, 16);
        parsed.map(Self).map_err(|_| not_hexadecimal())
    }
}

impl TryFrom<String> for PromptPartId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<PromptPartId> for String {
    fn from(part: PromptPartId) -> String {
        part.to_string()
    }
}

/// The ID of an event of a stream: a whole number. Within the answer of one target the IDs increase, by
/// steps of any size.
///
/// It is written with the leading zeros that it was read with, so that targets are told the same text.
#[derive(Clone, Copy, Debug, Display)]
#[display("{value:0digits$}", digits = usize::from(*digits))]
pub struct EventId {
    value: u128,
    digits: u8,
}

impl FromStr for EventId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            // The parser of numbers also accepts a sign.
            let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
            let value = text.parse().ok().filter(|_| is_number)?;
            let digits = u8::try_from(text.len()).ok()?;
            Some(Self { value, digits })
        };
        parse().ok_or_else(|| ParseIdError::NotAnEventId {
            text: text.to_owned(),
        })
    }
}

impl PartialEq for EventId {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}

impl Eq for EventId {}

impl PartialOrd for EventId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for EventId {
    fn cmp(&self, other: &Self) -> Ordering {
        self.value.cmp(&other.value)
    }
}

/// The digest of all that makes up a request apart from its identifier. It is written in
/// hexadecimal with 32 digits, the first of which is at least 8.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:x}")]
pub struct ContentDigest(u128);

impl ContentDigest {
    /// The bit that is set in every digest.
    const MARK: u128 = 1 << 127;

    /// Creates the digest from a hash, of which one bit is not used.
    pub fn from_hash(hash: u128) -> Self {
        Self(hash | Self::MARK)
    }
}

/// What requests can have in common: a part of their prompts, or all of their content. It is written
/// in hexadecimal, and a text with the mark of a [`ContentDigest`] is one.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub enum RequestFeature {
    /// A part of the prompt.
    PromptPart(PromptPartId),
    /// The whole content.
    Content(ContentDigest),
}

impl RequestFeature {
    /// Returns whether this is the whole content of a request.
    pub fn is_content(self) -> bool {
        matches!(self, Self::Content(_))
    }
}

impl FromStr for RequestFeature {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let PromptPartId(number) = text.parse()?;
        Ok(if number & ContentDigest::MARK == 0 {
            Self::PromptPart(PromptPartId(number))
        } else {
            Self::Content(ContentDigest(number))
        })
    }
}

impl TryFrom<String> for RequestFeature {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestFeature> for String {
    fn from(feature: RequestFeature) -> String {
        feature.to_string()
    }
}

impl From<GroupId> for TargetId {
    fn from(group: GroupId) -> Self {
        Self(group.0)
    }
}

impl From<ServiceId> for WeightsId {
    fn from(service: ServiceId) -> Self {
        Self(service.0)
    }
}

impl From<HostId> for TargetId {
    fn from(host: HostId) -> Self {
        Self(host.0)
    }
}

/// Returns the SHA-256 digest of `bytes`.
pub fn digest_of(bytes: &[u8]) -> Digest {
    use sha2::Digest as _;
    let hash = sha2::Sha256::digest(bytes);
    let text = hash.iter().map(|byte| format!("{byte:02x}"));
    Digest(text.collect())
}

/// Returns a random 128-bit attempt identifier.
pub fn new_attempt_id() -> AttemptId {
    AttemptId(random_hex())
}

/// Returns a random 128-bit request identifier.
pub fn new_request_id() -> RequestId {
    RequestId(random_hex())
}

fn random_hex() -> String {
    format!("{:032x}", rand::random::<u128>())
}
