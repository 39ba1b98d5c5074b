//! Runner of the library's integration tests.

mod test_admission;
mod test_change;
mod test_claim_store;
mod test_claims;
mod test_connection;
mod test_document;
mod test_exchange;
mod test_formation;
mod test_forward;
mod test_head;
mod test_head_world;
mod test_history;
mod test_ini;
mod test_lease;
mod test_limits;
mod test_membership;
mod test_peer;
mod test_peer_table;
mod test_presence;
mod test_relay;
mod test_retry;
mod test_routing;
mod test_silence;
mod test_spill;
mod test_stragglers;
mod test_units;
