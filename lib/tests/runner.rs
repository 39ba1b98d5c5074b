//! Runner of the library's integration tests.

mod test_admission;
mod test_connection;
mod test_document;
mod test_ini;
mod test_limits;
mod test_presence;
mod test_routing;
mod test_stragglers;
mod test_units;
