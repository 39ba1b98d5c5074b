//! The stand-in of one host of a plain service.
//!
//! It runs every operation that reaches it, whether a repetition does harm or not, and records what
//! ran, so that a checker can count.

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

/// Settings of a plain service's stand-in.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// The address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The host's name.
    pub host: HostId,
    /// The time that an operation takes.
    pub work_time: Duration,
    /// The file that the truth is written to at the end, if any.
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

/// Starts a plain service's stand-in.
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
