//! What to send, as the command line gives it.

use std::net::SocketAddr;
use std::str::FromStr;

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::OperationId;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::ids::ServiceId;
use derive_more::Display;
use derive_more::Error;

/// Why a text is not a kind of work or an account.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ParseSpecError {
    /// The weight is not a positive whole number.
    #[display("{text:?} is not a weight. Hint: write a whole number from 1 after '*'")]
    Weight {
        /// The text.
        text: String,
    },
    /// An account has no credential.
    #[display("{text:?} is not an account. Hint: write NAME=CREDENTIAL or NAME=CREDENTIAL*WEIGHT")]
    Account {
        /// The text.
        text: String,
    },
    /// An entry's address is not one.
    #[display("{text:?} is not an entry. Hint: write IP:PORT or IP:PORT,IP:PORT")]
    Entry {
        /// The text.
        text: String,
    },
    /// A part is not an identifier.
    #[display("{source}")]
    Id {
        /// What is wrong with it.
        source: ParseIdError,
    },
}

/// A service, or an operation of a plain service, with its weight among others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WorkSpec {
    /// The service.
    pub(crate) service: ServiceId,
    /// The operation; a model service has none.
    pub(crate) operation: Option<OperationId>,
    /// The weight.
    pub(crate) weight: u32,
}

/// An account with its credential and its weight among others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AccountSpec {
    /// The account.
    pub(crate) account: AccountId,
    /// The credential.
    pub(crate) credential: String,
    /// The weight.
    pub(crate) weight: u32,
}

/// An entry's address for callers and, to ask whether it is ready, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EntrySpec {
    /// The address for callers.
    pub(crate) callers: SocketAddr,
    /// The address for operators.
    pub(crate) operators: Option<SocketAddr>,
}

impl FromStr for EntrySpec {
    type Err = ParseSpecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |_| ParseSpecError::Entry {
            text: text.to_owned(),
        };
        let (callers, operators) = match text.split_once(',') {
            None => (text, None),
            Some((callers, operators)) => (callers, Some(operators)),
        };
        let operators = operators.map(str::parse).transpose();
        Ok(Self {
            callers: callers.parse().map_err(error)?,
            operators: operators.map_err(error)?,
        })
    }
}

impl FromStr for WorkSpec {
    type Err = ParseSpecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, weight) = split_weight(text)?;
        let id_error = |source| ParseSpecError::Id { source };
        let (service, operation) = match name.split_once('/') {
            None => (name, None),
            Some((service, operation)) => (service, Some(operation)),
        };
        let operation = operation.map(str::parse).transpose();
        Ok(Self {
            service: service.parse().map_err(id_error)?,
            operation: operation.map_err(id_error)?,
            weight,
        })
    }
}

impl FromStr for AccountSpec {
    type Err = ParseSpecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, weight) = split_weight(text)?;
        let Some((account, credential)) = name.split_once('=') else {
            let text = text.to_owned();
            return Err(ParseSpecError::Account { text });
        };
        let parsed = account.parse::<AccountId>();
        Ok(Self {
            account: parsed.map_err(|source| ParseSpecError::Id { source })?,
            credential: credential.to_owned(),
            weight,
        })
    }
}

fn split_weight(text: &str) -> Result<(&str, u32), ParseSpecError> {
    let Some((name, weight)) = text.rsplit_once('*') else {
        return Ok((text, 1));
    };
    let parsed = weight.parse::<u32>().ok().filter(|weight| *weight > 0);
    let text = weight.to_owned();
    let weight = parsed.ok_or(ParseSpecError::Weight { text })?;
    Ok((name, weight))
}
