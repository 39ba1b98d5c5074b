//! The settings of the pace.

/// The settings of the pace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PaceSettings {
    /// Whether targets are paced. The default is no, so that a deployment that does not ask for it is
    /// served as before.
    pub is_enabled: bool,
}
