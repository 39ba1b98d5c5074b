//! The evacuation of data centres, which the operator starts and ends.
//!
//! The operator's rows are read with the configuration. [`Evacuations`] derives from them which data
//! centres are evacuated; the gateway then sends nothing to their hosts, and no groups are formed
//! there.

mod evacuations;
mod metrics;
mod record;

pub use self::evacuations::EvacuationChange;
pub use self::evacuations::Evacuations;
pub use self::metrics::EvacuationMetrics;
pub use self::record::EvacuationRecord;
pub use self::record::OperatorRecord;
