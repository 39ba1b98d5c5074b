//! The stand-in of one host of a model's replica group.
//!
//! Rank 0 takes requests. It asks the other members on a small internal path whether they are in
//! the same group and generation, and generates nothing while one of them does not confirm, as an
//! engine does whose collective operations wait for a lost member.

mod batch;
mod cache;
mod chat;
pub mod faults;
mod generate;
mod members;
mod orders;
mod place;
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

/// Settings of an engine's stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The host's name.
    pub host: HostId,
    /// Whether orders with an old fencing number are refused.
    pub is_fenced: bool,
    /// The time that weights take to load.
    pub load_time: Duration,
    /// The weights that are loaded at the start.
    pub loaded_weights: Vec<WeightsId>,
    /// The time from the start of a request to its first token, without a cached prefix.
    pub prefill_time: Duration,
    /// The time between tokens.
    pub time_per_token: Duration,
    /// The most requests that run at once.
    pub batch_limit_requests: u32,
    /// How old the reported load is.
    pub report_lag: Duration,
    /// The most prefixes in the cache.
    pub cache_limit_prefixes: usize,
    /// Every how many cache events one is lost; zero loses none.
    pub cache_event_loss_interval: u64,
    /// The file that the truth is written to at the end, if any.
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

/// Starts an engine's stand-in.
pub async fn start(settings: EngineSettings) -> Result<RunningStandIn, StartError> {
    let (listener, address) = bind(settings.listen).await?;
    let stop = CancellationToken::new();
    let truth_file = settings.truth_file.clone();
    let service = EngineService::new(settings, stop.clone());
    let watcher = members::watch_members(service.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(watcher));
    tokio::spawn(serve(listener, service.clone(), stop.clone()));
    let running = RunningStandIn::new(address, stop);
    running.write_truth_on_stop(truth_file, move || service.truth_text());
    Ok(running)
}
