//! Checks before a change whether the document's services fit the platform's hosts.

use derive_more::Display;
use derive_more::Error;

use crate::ids::DataCentreId;
use crate::ids::ServiceId;
use crate::platform::ListedHost;
use crate::platform::ListedState;

use super::document::Document;
use super::document::Service;
use super::document::ServiceKind;

/// Why a service of the document does not fit the hosts.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlacementProblem {
    /// A service has no live host in any data centre.
    #[display(
        "service `{service}` has no live host in any data centre. \
         Hint: reserve hosts for it on the platform, or remove its section"
    )]
    NoHosts {
        /// The service without a live host.
        service: ServiceId,
    },
    /// The replicas do not fit the live hosts of a data centre.
    #[display(
        "service `{service}` wants {requested_replicas} replicas in data centre {data_centre}, but \
         its {hosts} live hosts have room for {possible_replicas}, since the {hosts_per_replica} \
         hosts of a replica must be in one fabric domain. \
         Hint: lower `replicas`, or add hosts to a domain"
    )]
    TooFewHosts {
        /// The service that does not fit.
        service: ServiceId,
        /// The data centre that lacks hosts.
        data_centre: DataCentreId,
        /// The number of replicas that the document requires; 1 if it sets none.
        requested_replicas: u32,
        /// The number of replicas that fit the live hosts.
        possible_replicas: u32,
        /// The number of live hosts of the service in the data centre.
        hosts: u32,
        /// The number of hosts in a replica group.
        hosts_per_replica: u32,
    },
}

/// Returns why `document` can't be placed on `hosts`; empty if it can.
///
/// Leaving hosts don't count. A data centre without live hosts of a service is not checked for it.
pub fn placement_problems(document: &Document, hosts: &[ListedHost]) -> Vec<PlacementProblem> {
    let mut problems = Vec::new();
    for service in document.services.iter() {
        let is_usable =
            |host: &&ListedHost| host.service == service.name && host.state == ListedState::Live;
        let usable = hosts.iter().filter(is_usable).collect::<Vec<_>>();
        if usable.is_empty() {
            let service = service.name.clone();
            problems.push(PlacementProblem::NoHosts { service });
        }
        problems.extend(service_problems(service, usable));
    }
    problems
}

fn service_problems(service: &Service, mut hosts: Vec<&ListedHost>) -> Vec<PlacementProblem> {
    let ServiceKind::Model {
        hosts_per_replica,
        replicas,
        ..
    } = service.kind
    else {
        return Vec::new();
    };
    hosts.sort_by_key(|host| (&host.data_centre, &host.domain));
    let data_centres = hosts.chunk_by(|a, b| a.data_centre == b.data_centre);
    let problems = data_centres.filter_map(|hosts| {
        let requested_replicas = replicas.unwrap_or(1);
        let possible_replicas = count_possible_replicas(hosts, hosts_per_replica);
        let data_centre = hosts.first()?.data_centre.clone();
        (possible_replicas < requested_replicas).then(|| PlacementProblem::TooFewHosts {
            service: service.name.clone(),
            data_centre,
            requested_replicas,
            possible_replicas,
            hosts: count(hosts),
            hosts_per_replica,
        })
    });
    problems.collect()
}

/// Returns how many complete replicas fit `hosts`, which must be sorted by fabric domain.
fn count_possible_replicas(hosts: &[&ListedHost], hosts_per_replica: u32) -> u32 {
    let domains = hosts.chunk_by(|a, b| a.domain == b.domain);
    let replicas = domains.map(|hosts| count(hosts) / hosts_per_replica.max(1));
    replicas.sum()
}

fn count(hosts: &[&ListedHost]) -> u32 {
    u32::try_from(hosts.len()).unwrap_or(u32::MAX)
}
