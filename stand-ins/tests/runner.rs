//! Runner of the integration tests of the stand-ins.

mod common;
mod test_engine;
mod test_placement;
mod test_plain;
mod test_platform;
mod test_relay;
