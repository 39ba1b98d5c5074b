//! Start and graceful shutdown of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::configuration::watch_head;
use super::exchange::EntryExchange;
use super::operators::OperatorHandler;
use super::placement::run_placement;
use super::poll::poll_lists;
use super::poll::poll_reports;
use super::poll::refresh_capacity;
use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::connection::relay::client::RelaySettings;
use crate::connection::relay::server::serve_relays;
use crate::connection::server::ServerSettings;
use crate::connection::server::serve;
use crate::process::lifecycle::Stage;
use crate::process::peer::PeerSettings;
use crate::process::peer::server::serve_peers;
use crate::process::settings::EntrySettings;
use crate::request::handler::CallerHandler;
use crate::target::TargetClient;

/// Capacity of the channel of peer events for the head watcher; further events are dropped.
const PEER_EVENT_BUFFER: usize = 256;

/// Why an entry could not start.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// Binding a listener failed.
    #[display(
        "can't listen at {address}: {source}. Hint: check that the address belongs to this host \
         and is not in use"
    )]
    #[from(skip)]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Registering the metrics failed.
    #[display("the metrics can't be registered: {_0}. Hint: this is a bug in beryltray")]
    Metrics(prometheus::Error),
}

/// The tokens that shut the process down when cancelled.
#[derive(Clone, Debug, Default)]
pub struct ShutdownTokens {
    /// Drains the process: requests in flight may finish within the drain limit.
    pub graceful: CancellationToken,
    /// Shuts the process down without waiting for requests in flight.
    pub immediate: CancellationToken,
}

/// Runs an entry until it is shut down by one of the `shutdown` tokens.
///
/// Returns an error only if the entry can't start.
pub async fn run_entry<C, P, T>(
    mut settings: EntrySettings,
    clock: C,
    platform: P,
    targets: T,
    shutdown: ShutdownTokens,
) -> Result<(), EntryError>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let listen = settings.listen;
    let caller_listener = bind(listen.callers).await?;
    let operator_listener = bind(listen.operators).await?;
    let peer_listener = bind(listen.peers).await?;
    let relay_listener = bind(listen.relay).await?;
    settings.listen.relay = bound_address(&relay_listener, listen.relay)?;
    settings.listen.peers = bound_address(&peer_listener, listen.peers)?;
    let (state, claim_task) = EntryState::new(settings, clock, platform, targets)?;
    let state = Arc::new(state);

    let mut background = JoinSet::new();
    let (peer_events, event_receiver) = mpsc::channel(PEER_EVENT_BUFFER);
    let peers = state.peers.clone();
    background.spawn(watch_head(
        Arc::clone(&state),
        peers.clone(),
        event_receiver,
    ));
    let (exchange, peer_calls) = EntryExchange::new(Arc::clone(&state), peers, peer_events)?;
    background.spawn(exchange.clone().run(peer_calls));
    background.spawn(serve_peers(
        peer_listener,
        exchange.clone(),
        PeerSettings::default(),
        exchange.meter(),
        CancellationToken::new(),
    ));
    background.spawn(claim_task.run());
    background.spawn(poll_lists(Arc::clone(&state)));
    background.spawn(refresh_capacity(Arc::clone(&state)));
    background.spawn(poll_reports(Arc::clone(&state)));
    let placement = run_placement(Arc::clone(&state), shutdown.graceful.clone());
    background.spawn(placement);
    background.spawn(serve(
        operator_listener,
        OperatorHandler::new(Arc::clone(&state)),
        ServerSettings::default(),
        CancellationToken::new(),
    ));
    log::info!(
        entry:% = state.identity.entry, callers:% = listen.callers, operators:% = listen.operators;
        "entry started"
    );

    let close_listener = CancellationToken::new();
    let callers = tokio::spawn(serve(
        caller_listener,
        CallerHandler::new(Arc::clone(&state)),
        state.settings.callers.server,
        close_listener.clone(),
    ));
    let relays = serve_relays(
        relay_listener,
        CallerHandler::new(Arc::clone(&state)),
        RelaySettings::default(),
        close_listener.clone(),
    );
    let relays = tokio::spawn(async move {
        if let Err(error) = relays.await {
            log::error!("{error}");
        }
    });
    let listeners = Listeners { callers, relays };
    let drained = drain(&state, &shutdown, close_listener, listeners);
    tokio::select! {
        () = drained => log::info!("all requests are done"),
        () = shutdown.immediate.cancelled() => log::warn!("shut down at once; requests aborted"),
    }
    exchange.leave().await;
    background.shutdown().await;
    Ok(())
}

/// The tasks that accept requests; each ends once its listener is closed and its requests are done.
struct Listeners {
    callers: JoinHandle<()>,
    relays: JoinHandle<()>,
}

/// Waits for the graceful shutdown and carries it out.
///
/// For the notice period the entry reports that it is not ready but still accepts requests, so that
/// the load balancer can stop sending. The listeners are then closed, and the requests in flight
/// have until the drain limit to finish.
async fn drain<C, P, T>(
    state: &EntryState<C, P, T>,
    shutdown: &ShutdownTokens,
    close_listener: CancellationToken,
    listeners: Listeners,
) where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    shutdown.graceful.cancelled().await;
    state.lifecycle.advance(Stage::Draining);
    let settings = state.settings.shutdown;
    log::info!(notice_ms = millis(settings.notice); "draining: the readiness check now fails");
    tokio::time::sleep(settings.notice).await;
    state.lifecycle.advance(Stage::Stopping);
    close_listener.cancel();
    let finished = tokio::time::timeout(settings.drain_limit, finish(state, listeners)).await;
    if finished.is_err() {
        log::error!(limit_ms = millis(settings.drain_limit); "drain timed out; requests aborted");
    }
}

/// Waits for the requests in flight, including non-idempotent ones whose callers have disconnected,
/// and then until the results of the non-idempotent ones are recorded.
async fn finish<C, P, T>(state: &EntryState<C, P, T>, listeners: Listeners)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    if let Err(error) = listeners.callers.await {
        log::error!("caller listener task failed: {error}");
    }
    if let Err(error) = listeners.relays.await {
        log::error!("relay listener task failed: {error}");
    }
    state.keyed_work.close();
    state.keyed_work.wait().await;
    state.claims.flush().await;
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn bound_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, EntryError> {
    let bound = listener.local_addr();
    bound.map_err(|source| EntryError::Listen { address, source })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, EntryError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| EntryError::Listen { address, source })
}
