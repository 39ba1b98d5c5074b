//! Stand-in for one host of a model's replica group.
//!
//! The host with rank 0 is the leader and serves requests. It checks on an internal path that the
//! other members are in the same group and generation. While a member does not confirm that, the
//! leader generates no tokens, like an engine whose collective operations wait for a lost member.

mod batch;
mod batch_slot;
mod cache;
mod chat;
pub mod faults;
mod generate;
mod members;
mod orders;
mod service;
mod state;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::WeightsId;
use tokio_util::sync::CancellationToken;

use self::service::EngineService;
use crate::server::RunningStandIn;
use crate::server::StartError;
use crate::server::bind;
use crate::server::serve;

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The host's name.
    pub host: HostId,
    /// Whether orders with a stale fencing token (epoch) are refused.
    pub is_fenced: bool,
    /// The time to load weights.
    pub load_time: Duration,
    /// The weights that are loaded at startup.
    pub loaded_weights: Vec<WeightsId>,
    /// The time from the start of a request to the generation of its first token, if its prefix is
    /// not cached.
    pub prefill_time: Duration,
    /// The time to generate a token.
    pub time_per_token: Duration,
    /// Maximum number of requests that run concurrently.
    pub batch_limit_requests: u32,
    /// The age of the load data in reports.
    pub report_lag: Duration,
    /// Maximum number of cached prefixes.
    pub cache_limit_prefixes: usize,
    /// One in this many cache events is dropped; 0 drops none.
    pub cache_event_loss_interval: u64,
    /// The file to write the truth to when the stand-in stops, if any.
    pub truth_file: Option<PathBuf>,
}

impl EngineSettings {
    /// Creates settings for a host on a free port of the loopback interface.
    pub fn new(host: HostId) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            host,
            is_fenced: true,
            load_time: Duration::from_millis(200),
            loaded_weights: Vec::new(),
            prefill_time: Duration::from_millis(20),
            time_per_token: Duration::from_millis(5),
            batch_limit_requests: 32,
            report_lag: Duration::from_millis(300),
            cache_limit_prefixes: 64,
            cache_event_loss_interval: 16,
            truth_file: None,
        }
    }
}

/// Starts an engine stand-in. Fails if the address can't be listened on.
pub async fn start(settings: EngineSettings) -> Result<RunningStandIn, StartError> {
    let (listener, address) = bind(settings.listen).await?;
    let stop = CancellationToken::new();
    let truth_file = settings.truth_file.clone();
    let service = EngineService::new(settings, stop.clone());
    let monitor = members::monitor_members(service.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(monitor));
    tokio::spawn(serve(listener, service.clone(), stop.clone()));
    let running = RunningStandIn::new(address, stop);
    running.write_truth_on_stop(truth_file, move || service.truth_text());
    Ok(running)
}
