//! The words that stand for the document's choices in INI text.

use crate::ini::IniValue;

use super::document::PlacementGoal;
use super::document::Priority;
use super::document::ServiceKind;

/// The one operation of a model service.
pub const MODEL_OPERATION: &str = "chat";

/// The word for a service's kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum KindName {
    Model,
    Plain,
}

impl From<&ServiceKind> for KindName {
    fn from(kind: &ServiceKind) -> Self {
        match kind {
            ServiceKind::Model { .. } => Self::Model,
            ServiceKind::Plain => Self::Plain,
        }
    }
}

macro_rules! word_values {
    ($($name:ty { $($variant:path => $word:literal),+ $(,)? })*) => {
        $(impl IniValue for $name {
            fn expected() -> String {
                let words = [$($word),+];
                format!("one of {}", words.join(", "))
            }

            fn parse_value(text: &str) -> Option<Self> {
                match text {
                    $($word => Some($variant),)+
                    _ => None,
                }
            }

            fn format_value(&self) -> String {
                let word = match self {
                    $($variant => $word,)+
                };
                String::from(word)
            }
        })*
    };
}

word_values! {
    KindName {
        KindName::Model => "model",
        KindName::Plain => "plain",
    }
    Priority {
        Priority::Emergency => "emergency",
        Priority::Normal => "normal",
        Priority::Batch => "batch",
    }
    PlacementGoal {
        PlacementGoal::LessDowntime => "less-downtime",
        PlacementGoal::FewerStranded => "fewer-stranded",
    }
}
