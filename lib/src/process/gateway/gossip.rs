//! The tasks that discover the other entries and exchange gossip datagrams with them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use super::peers::GOSSIP_INTERVAL;
use super::peers::PeerMessage;
use super::peers::Recipient;
use super::quarantine_gossip::QuarantineGossip;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::Incarnation;
use crate::ids::new_attempt_id;
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::Put;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::units::CoreShare;

/// The key prefix of the entries' rows in the platform's table.
const ENTRY_PREFIX: &str = "entry/";
/// The interval of reads of the list of entries. It can be long, since a new entry announces itself
/// to the others by its datagrams.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(20);
/// The delay before a failed call to the platform is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// The size of the receive buffer. With up to some dozens of targets, a datagram fits into one
/// packet on usual networks.
const MESSAGE_LIMIT_BYTES: usize = 16 * 1024;

/// The delay of a timer from which it is logged. Callers' first latency targets are about as long.
const LOOP_DELAY_LOGGED: Duration = Duration::from_millis(250);

/// The row of an entry in the list of entries.
#[derive(Debug, Deserialize, Serialize)]
struct EntryRow {
    entry: EntryId,
    address: SocketAddr,
    data_centre: DataCentreId,
    /// 0 in rows of entries of an earlier version, which omit it.
    #[serde(default)]
    processor: CoreShare,
}

/// Registers this entry in the list of entries and adds the listed peers at intervals.
pub(super) async fn discover_entries<C, P>(state: Arc<GatewayState<C>>, platform: P)
where
    C: Clock,
    P: Table,
{
    let mut is_registered = false;
    loop {
        let result = if is_registered {
            read_entries(&state, &platform).await
        } else {
            let registered = register_entry(&state, &platform).await;
            is_registered = registered.is_ok();
            match registered {
                Ok(()) => read_entries(&state, &platform).await,
                Err(error) => Err(error),
            }
        };
        match result {
            Ok(true) => tokio::time::sleep(DISCOVERY_INTERVAL).await,
            Ok(false) => {
                // A platform that has come back in an earlier state may have lost the row.
                log::info!("this entry is not in the list of entries; it registers again");
                is_registered = false;
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                log::warn!("can't register in or read the list of entries; retrying: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn register_entry<C, P>(state: &GatewayState<C>, platform: &P) -> Result<(), PlatformError>
where
    C: Clock,
    P: Table,
{
    let row = EntryRow {
        entry: state.settings.entry.clone(),
        address: state.settings.listen.peers,
        data_centre: state.settings.data_centre.clone(),
        processor: state.settings.processor,
    };
    let value = serde_json::to_string(&row).map_err(|error| PlatformError::Protocol {
        reason: error.to_string(),
    })?;
    let key = format!("{ENTRY_PREFIX}{}", row.entry);
    // Only this entry writes the row, so the write needs no precondition.
    let written = platform.commit(Transaction {
        attempt: new_attempt_id(),
        checks: Vec::new(),
        puts: vec![Put { key, value }],
        deletes: Vec::new(),
    });
    match written.await? {
        CommitOutcome::Committed { .. } | CommitOutcome::Refused { .. } => Ok(()),
    }
}

/// Adds the listed entries to the peers. Returns whether this entry is listed.
async fn read_entries<C, P>(state: &GatewayState<C>, platform: &P) -> Result<bool, PlatformError>
where
    C: Clock,
    P: Table,
{
    let now = state.clock.now();
    let mut listed = Vec::new();
    // They are logged in one line, since there may be many and the rows are read again and again.
    let mut invalid_count = 0_u64;
    let mut first_invalid = None;
    for row in platform.scan(ENTRY_PREFIX.to_owned()).await? {
        match serde_json::from_str::<EntryRow>(&row.value) {
            Ok(row) => {
                listed.push(row.entry.clone());
                state.with_peers(|peers| {
                    peers.on_listed(row.entry, row.address, row.data_centre, row.processor, now);
                });
            }
            Err(error) => {
                invalid_count += 1;
                first_invalid.get_or_insert((row.key, error));
            }
        }
    }
    if let Some((key, error)) = first_invalid {
        log::warn!(
            count = invalid_count, key = key.as_str();
            "invalid entry rows are ignored, the first one: {error}"
        );
    }
    state.with_peers(|peers| peers.on_list_read(&listed, now));
    Ok(listed.contains(&state.settings.entry))
}

/// Sends this entry's gossip to its peers at intervals.
pub(super) async fn send_gossip<C>(
    state: Arc<GatewayState<C>>,
    socket: Arc<UdpSocket>,
    incarnation: Incarnation,
) where
    C: Clock,
{
    let mut ticks = tokio::time::interval(GOSSIP_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut number = 0;
    loop {
        let due_at = ticks.tick().await;
        let delay = due_at.elapsed();
        state.metrics.observe_loop_delay(delay);
        if delay >= LOOP_DELAY_LOGGED {
            log::warn!(
                delay_ms = delay.as_millis() as u64;
                "a timer fired late; the process lacks processor time"
            );
        }
        number += 1;
        let payload = state.gossip_payload();
        let message = PeerMessage {
            entry: state.settings.entry.clone(),
            incarnation,
            number,
            address: state.settings.listen.peers,
            data_centre: state.settings.data_centre.clone(),
            processor: state.settings.processor,
            uses: payload.uses,
            loads: payload.loads,
            stalled: payload.stalled,
            has_requests: state.request_count() > 0,
            can_forward: state.can_forward(),
            limits: payload.limits,
            leaving: payload.leaving,
            departures: payload.departures,
            paces: payload.paces,
            demand: payload.demand,
            quarantine: state.with_quarantine(|quarantine, now| quarantine.gossip(now)),
            history: state.history_id(),
        };
        let now = state.clock.now();
        let grants = message.limits.iter().flat_map(|limit| &limit.grants);
        let lease_holder = state.demand_recipient(number);
        let required = grants.map(|(entry, _)| entry.clone()).chain(lease_holder);
        let required: Vec<EntryId> = required.collect();
        let recipients = state.with_peers(|peers| peers.recipients(&required, now));
        let without_loads = PeerMessage {
            loads: Vec::new(),
            ..message.clone()
        };
        let encoded = serde_json::to_vec(&message);
        let (with_loads, without_loads) = match encoded.and_then(|bytes| {
            let without_loads = serde_json::to_vec(&without_loads)?;
            Ok((bytes, without_loads))
        }) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("can't encode the gossip datagram: {error}");
                continue;
            }
        };
        // What others have to act on at once is sent to all, without a wait.
        let is_urgent = !message.stalled.is_empty()
            || !message.limits.is_empty()
            || !message.leaving.is_empty()
            || message.quarantine != QuarantineGossip::default();
        let is_sent = |recipient: &&Recipient| is_urgent || recipient.takes(number);
        for recipient in recipients.iter().filter(is_sent) {
            let bytes = if recipient.takes_loads {
                &with_loads
            } else {
                &without_loads
            };
            let address = recipient.address;
            if let Err(error) = socket.send_to(bytes, address).await {
                log::debug!(peer:% = address; "can't send the gossip datagram: {error}");
            }
        }
    }
}

/// Receives and applies the datagrams of peers.
pub(super) async fn receive_gossip<C>(state: Arc<GatewayState<C>>, socket: Arc<UdpSocket>)
where
    C: Clock,
{
    let mut buffer = vec![0; MESSAGE_LIMIT_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!("can't receive gossip datagrams; retrying: {error}");
                tokio::time::sleep(GOSSIP_INTERVAL).await;
                continue;
            }
        };
        match serde_json::from_slice::<PeerMessage>(&buffer[..length]) {
            Ok(message) => state.on_peer_message(&message),
            Err(error) => log::debug!("invalid gossip datagram is ignored: {error}"),
        }
    }
}
