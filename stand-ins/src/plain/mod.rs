//! Stand-in for one host of a plain service.
//!
//! It executes every operation that it receives, without deduplication, and records each execution
//! so that a checker can count them.

pub mod faults;
mod service;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use beryltray_lib::ids::HostId;
use tokio_util::sync::CancellationToken;

use self::service::PlainService;
use crate::server::RunningStandIn;
use crate::server::StartError;
use crate::server::bind;
use crate::server::serve;

/// Settings of a plain service stand-in.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The host's name.
    pub host: HostId,
    /// The duration of an operation.
    pub work_time: Duration,
    /// The file to write the truth to when the stand-in stops, if any.
    pub truth_file: Option<PathBuf>,
}

impl PlainSettings {
    /// Creates settings for a host on a free port of the loopback interface.
    pub fn new(host: HostId) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            host,
            work_time: Duration::from_millis(5),
            truth_file: None,
        }
    }
}

/// Starts a plain service stand-in. Fails if the address can't be listened on.
pub async fn start(settings: PlainSettings) -> Result<RunningStandIn, StartError> {
    let (listener, address) = bind(settings.listen).await?;
    let stop = CancellationToken::new();
    let truth_file = settings.truth_file.clone();
    let service = PlainService::new(settings, stop.clone());
    tokio::spawn(serve(listener, service.clone(), stop.clone()));
    let running = RunningStandIn::new(address, stop);
    running.write_truth_on_stop(truth_file, move || service.truth_text());
    Ok(running)
}
