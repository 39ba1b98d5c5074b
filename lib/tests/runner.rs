//! Runner of the library's integration tests.

mod test_connection;
mod test_exchange;
mod test_membership;
mod test_document;
mod test_ini;
mod test_presence;
mod test_routing;
mod test_stragglers;
mod test_units;
