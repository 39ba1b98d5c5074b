//! The leader's checks of the other members, and the sampling of the load.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::ids::HostId;
use beryltray_lib::target::wire::GroupMembership;
use beryltray_lib::target::wire::OrderMember;
use futures_util::future::join_all;
use http::Request;
use http::header::HOST;

use super::service::EngineService;
use super::state::MissingMembers;

/// Internal path that returns the group membership of a host.
pub(super) const MEMBER_PATH: &str = "/internal/member";
/// Interval between checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A member that does not confirm its membership within this time is missing.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a member's answer.
const CONFIRM_LIMIT_BYTES: usize = 4096;

/// Checks the members and samples the load periodically, until the task is cancelled.
pub(super) async fn monitor_members(service: EngineService) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        service.sample_load();
        check_members(&service).await;
    }
}

async fn check_members(service: &EngineService) {
    let Some((own, others)) = service.leader_and_members() else {
        return;
    };
    let checks = others
        .iter()
        .map(|member| confirms_membership(member, &own));
    let confirmations = join_all(checks).await;
    let checked = others.iter().zip(confirmations);
    let missing = checked.filter(|(_, is_confirmed)| !is_confirmed);
    let hosts = missing.map(|(member, _)| member.host.clone()).collect();
    service.set_missing_members(&own, hosts);
}

async fn confirms_membership(member: &OrderMember, own: &GroupMembership) -> bool {
    let fetched = tokio::time::timeout(CONFIRM_TIMEOUT, fetch_membership(member.address)).await;
    let membership = fetched.ok().flatten();
    membership.is_some_and(|other| {
        other.is_ready && other.group == own.group && other.generation == own.generation
    })
}

async fn fetch_membership(address: SocketAddr) -> Option<GroupMembership> {
    let opened = ClientConnection::open(address, CONFIRM_TIMEOUT).await;
    let mut connection = opened.ok()?;
    let request = Request::get(MEMBER_PATH)
        .header(HOST, address.to_string())
        .body(RequestBody::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    let read = read_body(response.into_body(), CONFIRM_LIMIT_BYTES, CONFIRM_TIMEOUT).await;
    serde_json::from_slice::<Option<GroupMembership>>(&read.ok()?).ok()?
}

impl MissingMembers {
    /// Records the result of a check.
    pub(super) fn update(&mut self, now: Instant, hosts: Vec<HostId>) {
        if hosts.is_empty() {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.hosts = hosts;
    }
}
