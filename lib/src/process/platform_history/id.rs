//! The identifier of a history of the platform.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Revision;

/// A history of the platform, from one return in an earlier state to the next.
///
/// The greatest one that is known to any entry is the present one. Entries that detect the same return
/// independently give it different identifiers of the same number, and the greater one prevails.
///
/// ```
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::process::platform_history::HistoryId;
///
/// let first = HistoryId::default();
/// let second = first.next(Revision(38), 7);
/// assert!(first < second);
/// assert_eq!(second.to_string(), "1.38.7");
/// assert_eq!("1.38.7".parse(), Ok(second));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{number}.{proven_at}.{nonce}")]
#[serde(try_from = "String", into = "String")]
pub struct HistoryId {
    /// How many returns the entry that detected this one knew of, with it; 0 for the history that a process
    /// finds at its start.
    number: u64,
    /// The revision of the write that proved the return. The platform has reached it in this history.
    proven_at: Revision,
    /// Random, so that different returns never have the same identifier.
    nonce: u32,
}

/// Why a text is not the identifier of a history.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ParseHistoryIdError {
    /// It doesn't have three parts.
    #[display(
        "{text:?} is not the identifier of a history. Hint: write it as number.revision.nonce"
    )]
    Parts {
        /// The text.
        text: String,
    },
    /// A part is not a number.
    #[display(
        "{text:?} is not the identifier of a history: {source}. Hint: write it as number.revision.nonce"
    )]
    Number {
        /// The text.
        text: String,
        /// What is wrong with the number.
        source: ParseIntError,
    },
}

impl HistoryId {
    /// Returns the history that follows this one, by a write at `proven_at`.
    pub fn next(self, proven_at: Revision, nonce: u32) -> Self {
        Self {
            number: self.number.saturating_add(1),
            proven_at,
            nonce,
        }
    }

    /// Returns whether no return of the platform is known.
    pub fn is_first(&self) -> bool {
        self.number == 0
    }

    /// Returns a revision that the platform has reached in this history; `None` if none is known.
    pub fn reached(&self) -> Option<Revision> {
        (!self.is_first()).then_some(self.proven_at)
    }
}

impl FromStr for HistoryId {
    type Err = ParseHistoryIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('.').collect();
        let &[number, proven_at, nonce] = parts.as_slice() else {
            return Err(ParseHistoryIdError::Parts {
                text: text.to_owned(),
            });
        };
        let not_a_number = |source| ParseHistoryIdError::Number {
            text: text.to_owned(),
            source,
        };
        Ok(Self {
            number: number.parse().map_err(not_a_number)?,
            proven_at: Revision(proven_at.parse().map_err(not_a_number)?),
            nonce: nonce.parse().map_err(not_a_number)?,
        })
    }
}

impl TryFrom<String> for HistoryId {
    type Error = ParseHistoryIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<HistoryId> for String {
    fn from(history: HistoryId) -> String {
        history.to_string()
    }
}
