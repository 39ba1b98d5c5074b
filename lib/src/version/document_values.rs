//! Names of the document's enum values in INI text.

use crate::ini::IniValue;

use super::document::PlacementGoal;
use super::document::Priority;
use super::document::ServiceKind;

/// The name of the only operation of a model service.
pub const MODEL_OPERATION: &str = "chat";

/// The kind of a service without its parameters, as the value of `kind`.
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

macro_rules! keyword_values {
    ($($name:ty { $($variant:path => $keyword:literal),+ $(,)? })*) => {
        $(impl IniValue for $name {
            fn expected() -> String {
                let keywords = [$($keyword),+];
                format!("one of {}", keywords.join(", "))
            }

            fn parse_value(text: &str) -> Option<Self> {
                match text {
                    $($keyword => Some($variant),)+
                    _ => None,
                }
            }

            fn format_value(&self) -> String {
                let keyword = match self {
                    $($variant => $keyword,)+
                };
                String::from(keyword)
            }
        })*
    };
}

keyword_values! {
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
