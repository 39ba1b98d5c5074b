//! The records that the operator writes: the configuration and the evacuations.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::Revision;
use crate::platform::feed::Changes;
use crate::platform::feed::FeedRecord;
use crate::sorted::Keyed;
use crate::version::routes::FEED_KEY;
use crate::version::routes::RouteDocument;

/// The start of the feed keys of evacuations, before the name of the data centre.
const FEED_KEY_PREFIX: &str = "evacuation/";

/// The operator's order to evacuate a data centre, in force until it is removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationRecord {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The revision at which the operator wrote the order.
    pub revision: Revision,
}

impl Keyed for EvacuationRecord {
    type Key = DataCentreId;

    fn key(&self) -> &DataCentreId {
        &self.data_centre
    }
}

impl EvacuationRecord {
    /// Returns the key by which a feed names the evacuation of a data centre.
    pub fn feed_key_of(data_centre: &DataCentreId) -> String {
        format!("{FEED_KEY_PREFIX}{data_centre}")
    }

    /// Returns the data centre of a feed key; `None` if it is the key of another record.
    pub fn data_centre_of(feed_key: &str) -> Option<DataCentreId> {
        feed_key.strip_prefix(FEED_KEY_PREFIX)?.parse().ok()
    }
}

/// A record of the operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRecord {
    /// The configuration.
    Configuration(RouteDocument),
    /// The evacuation of a data centre.
    Evacuation(EvacuationRecord),
}

impl FeedRecord for OperatorRecord {
    fn feed_key(&self) -> Cow<'_, str> {
        match self {
            Self::Configuration(document) => document.feed_key(),
            Self::Evacuation(evacuation) => {
                Cow::Owned(EvacuationRecord::feed_key_of(&evacuation.data_centre))
            }
        }
    }

    fn replaces(&self, known: &Self) -> bool {
        match (self, known) {
            (Self::Configuration(document), Self::Configuration(known)) => document.replaces(known),
            (Self::Evacuation(evacuation), Self::Evacuation(known)) => {
                evacuation.revision >= known.revision
            }
            _ => true,
        }
    }

    fn size_bytes(&self) -> usize {
        match self {
            Self::Configuration(document) => document.size_bytes(),
            Self::Evacuation(evacuation) => {
                size_of::<Self>() + evacuation.data_centre.as_str().len()
            }
        }
    }
}

impl OperatorRecord {
    /// The key by which a feed names the configuration.
    pub const CONFIGURATION_FEED_KEY: &str = FEED_KEY;

    /// Returns the configuration; `None` for another record.
    pub fn configuration(&self) -> Option<&RouteDocument> {
        match self {
            Self::Configuration(document) => Some(document),
            Self::Evacuation(_) => None,
        }
    }

    /// Returns the evacuation; `None` for another record.
    pub fn evacuation(&self) -> Option<&EvacuationRecord> {
        match self {
            Self::Configuration(_) => None,
            Self::Evacuation(evacuation) => Some(evacuation),
        }
    }

    /// Returns the evacuations of a list of records.
    pub fn evacuations_of(records: &[Self]) -> Vec<EvacuationRecord> {
        let evacuations = records.iter().filter_map(Self::evacuation);
        evacuations.cloned().collect()
    }

    /// Returns the data centres whose evacuations are among removed records.
    pub fn ended_evacuations_of(removed: &[String]) -> Vec<DataCentreId> {
        let data_centres = removed.iter();
        data_centres
            .filter_map(|key| EvacuationRecord::data_centre_of(key))
            .collect()
    }

    /// Returns the changes of the configuration only, for an entry of a version that knows no other
    /// record.
    pub fn configuration_changes(changes: Changes<Self>) -> Changes<RouteDocument> {
        let configuration = |record| match record {
            Self::Configuration(document) => Some(document),
            Self::Evacuation(_) => None,
        };
        let changed = changes.changed.into_iter().filter_map(configuration);
        Changes {
            changed: changed.collect(),
            // The configuration is never removed.
            removed: Vec::new(),
            unreadable: changes.unreadable,
            revision: changes.revision,
        }
    }
}
