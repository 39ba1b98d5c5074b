//! The server side of the calls between entries.

use futures_util::StreamExt as _;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::PeerHandler;
use super::PeerService;
use super::PeerSettings;
use super::metered::TrafficMeter;
use super::table::TableFailure;
use super::transport;
use crate::connection::server::ACCEPT_RETRY_DELAY;
use crate::platform::CommitOutcome;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::process::exchange::wire::Frame;
use crate::process::status::EntryStatus;
use crate::version::head::FetchedVersion;
use crate::version::head::HeadMark;

/// Implements the service trait of `tarpc` for a [`PeerHandler`].
#[derive(Clone, Debug)]
struct ServiceAdapter<H>(H);

impl<H> PeerService for ServiceAdapter<H>
where
    H: PeerHandler,
{
    async fn exchange(self, _: Context, frame: Frame) -> Frame {
        self.0.exchange(frame).await
    }

    async fn version(self, _: Context, mark: HeadMark) -> Option<FetchedVersion> {
        self.0.version(mark).await
    }

    async fn status(self, _: Context) -> EntryStatus {
        self.0.status().await
    }

    async fn read_claims(
        self,
        _: Context,
        keys: Vec<String>,
    ) -> Result<Vec<Option<Row>>, TableFailure> {
        self.0.read_claims(keys).await
    }

    async fn commit_claims(
        self,
        _: Context,
        transaction: Transaction,
    ) -> Result<CommitOutcome, TableFailure> {
        self.0.commit_claims(transaction).await
    }
}

/// Answers the calls of peers until `stop` is cancelled.
///
/// Calls in flight are aborted then. The caller may retry them, also at other peers, but a commit
/// only after reading its rows back.
pub async fn serve_peers<H>(
    listener: TcpListener,
    handler: H,
    settings: PeerSettings,
    meter: TrafficMeter,
    stop: CancellationToken,
) where
    H: PeerHandler,
{
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_connection(
                    stream,
                    handler.clone(),
                    settings,
                    meter.clone(),
                    stop.clone(),
                );
                connections.spawn(serving);
            }
            Err(error) => {
                log::warn!(
                    "could not accept a connection from a peer: {error}; retrying after a delay"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection<H>(
    stream: TcpStream,
    handler: H,
    settings: PeerSettings,
    meter: TrafficMeter,
    stop: CancellationToken,
) where
    H: PeerHandler,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("closed a connection from a peer, could not set TCP_NODELAY: {error}");
        return;
    }
    let channel = BaseChannel::with_defaults(transport(stream, settings, meter));
    let mut calls = Box::pin(channel.execute(ServiceAdapter(handler).serve()));
    loop {
        let next = tokio::select! {
            () = stop.cancelled() => break,
            next = tokio::time::timeout(settings.idle_timeout, calls.next()) => next,
        };
        match next {
            // The call is short and runs in its own task, so that this loop goes on polling `calls`,
            // which sends the answers.
            Ok(Some(call)) => drop(tokio::spawn(call)),
            Ok(None) | Err(_) => break,
        }
    }
}
