//! Command-line syntax of work, accounts and entries.

use std::net::SocketAddr;
use std::str::FromStr;

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::OperationId;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::ids::ServiceId;
use derive_more::Display;
use derive_more::Error;

/// Why a command-line value is not valid work, account or entry.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ParseSpecError {
    /// The weight is not a positive whole number.
    #[display("{text:?} is not a weight. Hint: write a whole number from 1 after '*'")]
    Weight {
        /// The text after `*`.
        text: String,
    },
    /// The account has no `=` and credential.
    #[display("{text:?} is not an account. Hint: write NAME=CREDENTIAL or NAME=CREDENTIAL*WEIGHT")]
    Account {
        /// The value as given on the command line.
        text: String,
    },
    /// An address of the entry is not `IP:PORT`.
    #[display("{text:?} is not an entry. Hint: write IP:PORT or IP:PORT,IP:PORT")]
    Entry {
        /// The value as given on the command line.
        text: String,
    },
    /// A name is not a valid identifier.
    #[display("{source}")]
    Id {
        /// The error of the identifier.
        source: ParseIdError,
    },
}

/// Work to send: `SERVICE[/OPERATION][*WEIGHT]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WorkSpec {
    /// The service to call.
    pub(crate) service: ServiceId,
    /// The operation of a plain service; `None` for a model service.
    pub(crate) operation: Option<OperationId>,
    /// The relative frequency; at least 1, and 1 by default.
    pub(crate) weight: u32,
}

/// A client account: `NAME=CREDENTIAL[*WEIGHT]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AccountSpec {
    /// The name of the account.
    pub(crate) account: AccountId,
    /// The credential in plain text, sent as the bearer token.
    pub(crate) credential: String,
    /// The relative frequency; at least 1, and 1 by default.
    pub(crate) weight: u32,
}

/// An entry: `IP:PORT[,IP:PORT]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EntrySpec {
    /// The address that requests are sent to.
    pub(crate) callers: SocketAddr,
    /// The address for readiness checks; `None` if the entry is not checked.
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
