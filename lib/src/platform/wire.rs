//! Paths and JSON bodies of the platform's HTTP interface.

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
/// `GET` and `PUT`: reads or stores an object; the object's key follows the prefix.
pub const OBJECT_PATH_PREFIX: &str = "/v1/objects/";
/// `GET`: the host list; the answer is [`HostsResponse`].
pub const HOSTS_PATH: &str = "/v1/hosts";

/// The body of a request to [`READ_PATH`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadRequest {
    /// The keys of the rows to read.
    pub keys: Vec<String>,
}

/// The answer to a [`ReadRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadResponse {
    /// The rows in the order of the requested keys; `None` for an absent row.
    pub rows: Vec<Option<Row>>,
}

/// The body of a request to [`SCAN_PATH`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanRequest {
    /// The key prefix of the rows to list.
    pub prefix: String,
}

/// The answer to a [`ScanRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanResponse {
    /// The matching rows, in ascending order of their keys.
    pub rows: Vec<Row>,
}

/// The answer to a request to [`HOSTS_PATH`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostsResponse {
    /// The hosts in no particular order.
    pub hosts: Vec<ListedHost>,
}
