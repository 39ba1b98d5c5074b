//! The platform's stand-in: a table, an object store and a list of hosts, all in memory.

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

/// Settings of the platform's stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The hosts in the list.
    pub hosts: Vec<ListedHost>,
    /// The file that the truth is written to at the end, if any.
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

/// Starts the platform's stand-in.
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
