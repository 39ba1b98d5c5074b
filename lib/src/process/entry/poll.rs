//! Tasks that poll the platform and the hosts and refresh the state of the targets.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::platform::ListedHost;
use crate::platform::ListedState;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::rows::GroupRow;
use crate::platform::rows::group_prefix;
use crate::process::lifecycle::Stage;
use crate::process::presence::ReportSource;
use crate::target::TargetClient;

/// Interval between reads of the host list and the group rows.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between updates of the admission capacity and checks for expired requests.
const CAPACITY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Polls the host list and the group rows until the task is dropped.
///
/// Also advances the entry to [`Stage::Ready`] once it can serve.
pub async fn poll_lists<C, P, T>(state: Arc<EntryState<C, P, T>>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut ticks = tokio::time::interval(LIST_POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let hosts = refresh_hosts(&state).await;
        record_call(&state, "hosts", hosts);
        let groups = refresh_groups(&state).await;
        record_call(&state, "groups", groups);
        if state.not_ready_because().is_none() && state.lifecycle.advance(Stage::Ready) {
            log::info!("entry is ready");
        }
    }
}

fn record_call<C, P, T>(state: &EntryState<C, P, T>, call: &str, result: Result<(), PlatformError>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    if let Err(error) = &result {
        log::debug!(call = call; "platform poll failed: {error}");
    }
    state.record_platform_call(call, result.is_ok());
}

async fn refresh_hosts<C, P, T>(state: &EntryState<C, P, T>) -> Result<(), PlatformError>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let listed = state.platform.hosts().await?;
    let is_local = |host: &ListedHost| host.data_centre == state.identity.data_centre;
    let local: Vec<ListedHost> = listed.into_iter().filter(is_local).collect();
    // Passed on to the peers, since the host lists that they read may lag behind this one.
    let is_leaving = |host: &&ListedHost| host.state == ListedState::Leaving;
    let leaving = local
        .iter()
        .filter(is_leaving)
        .map(|host| host.host.clone());
    state.exchange().set_leaving(&leaving.collect::<Vec<_>>());
    state.shards.on_listed_hosts(local, state.clock.now());
    state.mark_host_list_read();
    Ok(())
}

async fn refresh_groups<C, P, T>(state: &EntryState<C, P, T>) -> Result<(), PlatformError>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let identity = &state.identity;
    let prefix = group_prefix(&identity.environment, &identity.data_centre);
    let rows = state.platform.scan(prefix).await?;
    let groups: Vec<GroupRow> = rows.iter().filter_map(parse_group).collect();
    state.shards.on_groups(&groups, state.clock.now());
    Ok(())
}

fn parse_group(row: &Row) -> Option<GroupRow> {
    let parsed = serde_json::from_str(&row.value);
    if let Err(error) = &parsed {
        log::error!(key = row.key.as_str(); "group row can't be read, skipped: {error}");
    }
    parsed.ok()
}

/// Updates admission capacity and queues from the targets' state until the task is dropped.
pub async fn refresh_capacity<C, P, T>(state: Arc<EntryState<C, P, T>>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut ticks = tokio::time::interval(CAPACITY_TICK_INTERVAL);
    loop {
        ticks.tick().await;
        state.shards.tick(state.clock.now());
    }
}

/// Polls hosts for their reports until the task is dropped.
///
/// An entry polls the hosts assigned to it and those without a recent report from a peer. A host
/// with a poll in progress is skipped, so that a slow host does not delay the others.
pub async fn poll_reports<C, P, T>(state: Arc<EntryState<C, P, T>>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut ticks = tokio::time::interval(state.settings.targets.poll_interval);
    let mut polls = JoinSet::new();
    let mut pending_hosts: Vec<HostId> = Vec::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                for host in hosts_to_poll(&state) {
                    if let Err(index) = pending_hosts.binary_search(&host.host) {
                        pending_hosts.insert(index, host.host.clone());
                        polls.spawn(poll_host(Arc::clone(&state), host));
                    }
                }
                if pending_hosts.is_empty() && state.has_host_list() {
                    state.mark_reports_polled();
                }
            }
            Some(Ok(host)) = polls.join_next(), if !polls.is_empty() => {
                pending_hosts.retain(|other| *other != host);
                if pending_hosts.is_empty() && state.has_host_list() {
                    state.mark_reports_polled();
                }
            }
        }
    }
}

/// Returns the hosts that this entry polls now, and stops publishing its reports on all others.
fn hosts_to_poll<C, P, T>(state: &EntryState<C, P, T>) -> Vec<ListedHost>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut listed = state.shards.listed_hosts();
    let names: Vec<HostId> = listed.iter().map(|listed| listed.host.clone()).collect();
    let mut exchange = state.exchange();
    let polled = exchange.hosts_to_poll(&names, state.clock.now());
    let polled: Vec<HostId> = polled.into_iter().cloned().collect();
    exchange.retain_reports(&polled);
    listed.retain(|listed| polled.contains(&listed.host));
    listed
}

async fn poll_host<C, P, T>(state: Arc<EntryState<C, P, T>>, host: ListedHost) -> HostId
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let sent_at = state.clock.now();
    let report = state.targets.report(host.address).await;
    let now = state.clock.now();
    // The host may have made the report as early as the request was sent, so the whole round trip
    // counts as its age.
    let age = now.saturating_duration_since(sent_at);
    match report {
        Ok(report) if report.host == host.host => {
            state.exchange().set_report(&report, sent_at);
            state
                .shards
                .on_report(report, age, ReportSource::Direct, now);
        }
        Ok(report) => {
            log::warn!(expected:% = host.host, reported:% = report.host; "host name mismatch");
            state.shards.on_unreachable(&host.host, now);
        }
        Err(error) => {
            log::debug!(host:% = host.host; "no report: {error}");
            // Idle connections may be dead without having been closed, so the next poll opens a
            // new one.
            state.targets.drop_idle(host.address);
            state.shards.on_unreachable(&host.host, now);
        }
    }
    host.host
}
