//! Simulated entries of one data centre and the remote ends of their links, with the cost of their
//! exchange.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::process::exchange::ExchangeAction;
use beryltray_lib::process::exchange::ExchangeSettings;
use beryltray_lib::process::exchange::StateExchange;
use beryltray_lib::process::exchange::wire::Frame;
use beryltray_lib::process::exchange::wire::StateVersion;
use beryltray_lib::process::membership::member::MemberIdentity;
use beryltray_lib::process::peer::codec::LENGTH_PREFIX_BYTES;
use beryltray_lib::process::peer::codec::decode_answer;
use beryltray_lib::process::peer::codec::decode_call;
use beryltray_lib::process::peer::codec::encode_answer;
use beryltray_lib::process::peer::codec::encode_call;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::load::EntryLoadGenerator;
use super::load::head_mark;

/// TCP header (with timestamps) and IP header of each packet.
const PACKET_HEADER_BYTES: f64 = 52.0;
/// Call, answer, and TCP acknowledgement of the answer. The answer also acknowledges the call.
const PACKETS_PER_CALL: f64 = 3.0;
/// Entries at the remote end of a link; as many entries keep the link at the local end.
const REMOTE_ENTRIES_PER_DATA_CENTRE: usize = 2;
/// Rounds before the measurement starts.
const WARM_UP_ROUNDS: u32 = 20;
/// Rounds of the measurement.
const MEASURED_ROUNDS: u32 = 60;
/// Time between configuration changes: 9,100 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(9_495);
/// Port of the first entry. Ports only identify entries; nothing listens on them.
const PORT_BASE: usize = 10_000;

/// Encoding of frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Encoding {
    /// Encoding of the transport: `bincode` with variable-length integers, in `tarpc` messages.
    Compact,
    /// The same frames as JSON, without `tarpc` messages.
    Json,
}

/// Size, load and configuration of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetSettings {
    /// Entries of the measured data centre.
    pub(super) local_entries: usize,
    /// Hosts of the measured data centre.
    pub(super) hosts: usize,
    pub(super) accounts: usize,
    /// Data centres, including the measured one.
    pub(super) data_centres: usize,
    /// Request rate of each entry of the measured data centre.
    pub(super) requests_per_s: f64,
    /// Interval of the exchange rounds.
    pub(super) round_ms: u64,
    pub(super) encoding: Encoding,
    /// Whether frames carry the full state instead of the changes since the last acknowledgement.
    pub(super) sends_full_state: bool,
    pub(super) seed: u64,
}

/// Average cost of an entry of the measured data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Bytes sent and received, including packet headers.
    pub(super) bytes_per_s: f64,
    /// Calls sent and answered.
    pub(super) calls_per_s: f64,
    /// CPU time of the exchange, the encoding and the decoding, taken as their elapsed time.
    pub(super) cpu_us_per_s: f64,
    /// Size of all state that the entry holds, encoded as JSON.
    pub(super) state_bytes: f64,
}

#[derive(Debug)]
struct SimulatedEntry {
    exchange: StateExchange,
    load_generator: EntryLoadGenerator,
}

#[derive(Debug)]
struct Fleet {
    settings: FleetSettings,
    entries: Vec<SimulatedEntry>,
    rng: StdRng,
    /// Calls between entries; also the number of the current call.
    calls: u64,
    /// Bytes sent and received by the entries of the measured data centre.
    bytes: f64,
    /// Calls sent and answered by the entries of the measured data centre.
    local_ends: u64,
    /// CPU time of the entries of the measured data centre.
    busy_time: Duration,
}

/// Returns the average cost of an entry; all values are 0 if a generated identifier is invalid.
pub(super) fn measure_fleet(settings: FleetSettings) -> Cost {
    run_fleet(settings).unwrap_or_default()
}

fn run_fleet(settings: FleetSettings) -> Result<Cost, ParseIdError> {
    let start = SystemClock.now();
    let mut fleet = Fleet::new(settings, start)?;
    let round = Duration::from_millis(settings.round_ms);
    let mut version = 1;
    for number in 0..WARM_UP_ROUNDS + MEASURED_ROUNDS {
        if number == WARM_UP_ROUNDS {
            fleet.reset_counters();
        }
        let now = start + round * number;
        let changes = (round * number).as_millis() / CHANGE_INTERVAL.as_millis();
        if changes as u64 >= version {
            version += 1;
            let index = version as usize % fleet.entries.len();
            fleet.entries[index].exchange.set_head(&head_mark(version));
        }
        fleet.run_round(round, now);
    }
    let end = start + round * (WARM_UP_ROUNDS + MEASURED_ROUNDS);
    Ok(fleet.cost(round * MEASURED_ROUNDS, end))
}

impl Fleet {
    fn new(settings: FleetSettings, now: Instant) -> Result<Self, ParseIdError> {
        let local = (0..settings.local_entries).map(|_| 0);
        let remote = (1..settings.data_centres)
            .flat_map(|data_centre| [data_centre; REMOTE_ENTRIES_PER_DATA_CENTRE]);
        let mut entries = Vec::new();
        for (index, data_centre) in local.chain(remote).enumerate() {
            entries.push(new_simulated_entry(settings, index, data_centre, now)?);
        }
        Ok(Self {
            settings,
            entries,
            rng: StdRng::seed_from_u64(settings.seed),
            calls: 0,
            bytes: 0.0,
            local_ends: 0,
            busy_time: Duration::ZERO,
        })
    }

    fn reset_counters(&mut self) {
        self.calls = 0;
        self.bytes = 0.0;
        self.local_ends = 0;
        self.busy_time = Duration::ZERO;
    }

    fn run_round(&mut self, round: Duration, now: Instant) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            entry
                .load_generator
                .advance_round(&mut entry.exchange, &mut self.rng, round, now);
            let started_at = SystemClock.now();
            let actions = self.entries[index].exchange.on_round(now);
            self.add_busy_time(index, started_at);
            for action in actions {
                self.carry_out(index, action, now);
            }
        }
    }

    fn carry_out(&mut self, index: usize, action: ExchangeAction, now: Instant) {
        match action {
            ExchangeAction::Call { address, peer } => {
                let callee = usize::from(address.port()) - PORT_BASE;
                let is_measured = index.min(callee) < self.settings.local_entries;
                if is_measured {
                    let started_at = SystemClock.now();
                    let frame = self.entries[index].exchange.compose(peer.as_ref(), now);
                    self.add_busy_time(index, started_at);
                    self.call(index, callee, frame, now);
                }
            }
            ExchangeAction::PeerUpdated { peer, .. } => {
                let entry = &mut self.entries[index];
                entry
                    .load_generator
                    .on_peer_update(&entry.exchange, &peer, now);
            }
            _ => (),
        }
    }

    fn call(&mut self, caller: usize, callee: usize, frame: Frame, now: Instant) {
        self.calls += 1;
        let Some(frame) = self.transfer(caller, callee, frame, true) else {
            return;
        };
        let started_at = SystemClock.now();
        let (answer, actions) = self.entries[callee].exchange.on_call(&frame, now);
        self.add_busy_time(callee, started_at);
        for action in actions {
            self.carry_out(callee, action, now);
        }
        let Some(answer) = self.transfer(callee, caller, answer, false) else {
            return;
        };
        let started_at = SystemClock.now();
        let actions = self.entries[caller].exchange.on_answer(&answer, now);
        self.add_busy_time(caller, started_at);
        let local_ends = [caller, callee].map(|end| u64::from(end < self.settings.local_entries));
        let local_ends = local_ends.iter().sum::<u64>();
        self.local_ends += local_ends;
        self.bytes += local_ends as f64 * PACKETS_PER_CALL * PACKET_HEADER_BYTES;
        // Frames with the full state carry no acknowledgement, so the exchange would follow up on
        // an answer with a second call.
        let is_follow_up_call = |action: &ExchangeAction| {
            self.settings.sends_full_state && matches!(action, ExchangeAction::Call { .. })
        };
        let actions: Vec<_> = actions
            .into_iter()
            .filter(|a| !is_follow_up_call(a))
            .collect();
        for action in actions {
            self.carry_out(caller, action, now);
        }
    }

    /// Encodes and decodes a frame, and counts its bytes at each end in the measured data centre.
    /// Returns `None` if either fails.
    fn transfer(&mut self, from: usize, to: usize, frame: Frame, is_call: bool) -> Option<Frame> {
        let started_at = SystemClock.now();
        let call = self.calls;
        let encoded = match self.settings.encoding {
            Encoding::Json => serde_json::to_vec(&frame).ok()?.into(),
            Encoding::Compact if is_call => encode_call(frame, call).ok()?,
            Encoding::Compact => encode_answer(frame, call).ok()?,
        };
        self.add_busy_time(from, started_at);
        let ends = [from, to].map(|end| u64::from(end < self.settings.local_entries));
        let bytes = encoded.len() + LENGTH_PREFIX_BYTES;
        self.bytes += ends.iter().sum::<u64>() as f64 * bytes as f64;
        let started_at = SystemClock.now();
        let decoded = match self.settings.encoding {
            Encoding::Json => serde_json::from_slice(&encoded).ok(),
            Encoding::Compact if is_call => decode_call(encoded).ok().flatten(),
            Encoding::Compact => decode_answer(encoded).ok().flatten(),
        };
        self.add_busy_time(to, started_at);
        let mut frame = decoded?;
        if self.settings.sends_full_state {
            frame.ack = StateVersion::default();
        }
        Some(frame)
    }

    /// Adds the time since `started_at` if the entry belongs to the measured data centre.
    fn add_busy_time(&mut self, index: usize, started_at: Instant) {
        if index < self.settings.local_entries {
            self.busy_time += SystemClock.now().saturating_duration_since(started_at);
        }
    }

    fn cost(&self, elapsed: Duration, now: Instant) -> Cost {
        let entry_seconds = elapsed.as_secs_f64() * self.settings.local_entries as f64;
        let blocks = self.entries[0].exchange.full_state(now);
        let blocks = blocks
            .iter()
            .filter_map(|block| serde_json::to_vec(block).ok());
        Cost {
            bytes_per_s: self.bytes / entry_seconds,
            calls_per_s: self.local_ends as f64 / entry_seconds,
            cpu_us_per_s: self.busy_time.as_secs_f64() * 1e6 / entry_seconds,
            state_bytes: blocks.map(|block| block.len() as f64).sum(),
        }
    }
}

fn new_simulated_entry(
    settings: FleetSettings,
    index: usize,
    data_centre: usize,
    now: Instant,
) -> Result<SimulatedEntry, ParseIdError> {
    let address = |index: usize| ([127, 0, 0, 1], (PORT_BASE + index) as u16).into();
    let is_remote = data_centre > 0;
    let identity = MemberIdentity {
        entry: format!("lakes-{data_centre}-entry-{index:02}").parse()?,
        incarnation: Incarnation(1_700_000_000_000),
        data_centre: format!("lakes-{data_centre}").parse()?,
        address: address(index),
    };
    // Remote entries keep only their links to the measured data centre.
    let remote = settings.local_entries
        ..settings.local_entries + REMOTE_ENTRIES_PER_DATA_CENTRE * (settings.data_centres - 1);
    let local_seeds = (0..settings.local_entries).map(address);
    let seeds = if is_remote {
        local_seeds.collect()
    } else {
        local_seeds.chain(remote.map(address)).collect()
    };
    let exchange_settings = ExchangeSettings {
        seeds,
        near_interval: Duration::from_millis(settings.round_ms),
        ..ExchangeSettings::default()
    };
    let exchange = StateExchange::new(identity, exchange_settings, now);
    let (hosts, accounts, requests_per_s) = if is_remote {
        (0, 0, 0.0)
    } else {
        (settings.hosts, settings.accounts, settings.requests_per_s)
    };
    let load_generator = EntryLoadGenerator::new(
        &exchange,
        hosts,
        settings.local_entries,
        accounts,
        requests_per_s,
        now,
    )?;
    Ok(SimulatedEntry {
        exchange,
        load_generator,
    })
}
