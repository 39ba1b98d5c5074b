//! The paths and bodies of the platform's HTTP interface, all JSON.

use serde::Deserialize;
use serde::Serialize;

use super::ListedHost;
use super::Row;

/// `POST`: reads rows; the body is [`ReadRequest`], the answer [`ReadResponse`].
pub const READ_PATH: &str = "/v1/table/read";
/// `POST`: lists rows; the body is [`ScanRequest`], the answer [`ScanResponse`].
pub const SCAN_PATH: &str = "/v1/table/scan";
/// `POST`: the body is a [`super::Transaction`], the answer a [`super::CommitOutcome`].
pub const COMMIT_PATH: &str = "/v1/table/commit";
/// `GET` and `PUT`: an object; its key follows the prefix.
pub const OBJECT_PATH_PREFIX: &str = "/v1/objects/";
/// `GET`: the list of hosts; the answer is [`HostsResponse`].
pub const HOSTS_PATH: &str = "/v1/hosts";

/// The keys of rows to read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadRequest {
    /// The keys.
    pub keys: Vec<String>,
}

/// The rows that were read, in the order of the keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadResponse {
    /// The rows; `None` stands for no row.
    pub rows: Vec<Option<Row>>,
}

/// The prefix of the keys of rows to list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanRequest {
    /// The prefix.
    pub prefix: String,
}

/// The rows whose keys start with the prefix, in ascending order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanResponse {
    /// The rows.
    pub rows: Vec<Row>,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostsResponse {
    /// The hosts, in no order.
    pub hosts: Vec<ListedHost>,
}
