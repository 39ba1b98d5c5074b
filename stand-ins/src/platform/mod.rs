//! Stand-in for the platform: a table, an object store and a list of hosts, all in memory.

pub mod faults;
pub mod hosts;
mod service;
pub mod table;

use std::net::SocketAddr;
use std::path::PathBuf;

use beryltray_lib::platform::ListedHost;
use tokio_util::sync::CancellationToken;

use self::service::PlatformService;
use crate::server::RunningStandIn;
use crate::server::StartError;
use crate::server::bind;
use crate::server::serve;

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The initial list of hosts.
    pub hosts: Vec<ListedHost>,
    /// The file to write the truth to when the stand-in stops, if any.
    pub truth_file: Option<PathBuf>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            hosts: Vec::new(),
            truth_file: None,
        }
    }
}

/// Starts the platform stand-in. Fails if the address can't be listened on.
///
/// ```
/// use beryltray_stand_ins::platform;
///
/// # async fn example() -> Result<(), beryltray_stand_ins::server::StartError> {
/// let running = platform::start(platform::PlatformSettings::default()).await?;
/// println!("{}", running.address());
/// # Ok(())
/// # }
/// ```
pub async fn start(settings: PlatformSettings) -> Result<RunningStandIn, StartError> {
    let (listener, address) = bind(settings.listen).await?;
    let stop = CancellationToken::new();
    let truth_file = settings.truth_file.clone();
    let service = PlatformService::new(settings.hosts);
    tokio::spawn(serve(listener, service.clone(), stop.clone()));
    let running = RunningStandIn::new(address, stop);
    running.write_truth_on_stop(truth_file, move || service.truth_text());
    Ok(running)
}
