//! Stand-ins for the platform, the model engines and plain services, for trials and tests.
