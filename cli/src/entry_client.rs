//! Client of the entries' status endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use beryltray_lib::connection::body::ReadBodyError;
use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::client::SendError;
use beryltray_lib::process::entry::STATUS_PATH;
use beryltray_lib::process::status::EntryStatus;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::Request;
use http::header::HOST;

/// The longest accepted status body.
const STATUS_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Why an entry's status was not read.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StatusError {
    /// The request could not be sent, or no response head was received.
    Send(SendError),
    /// The response body could not be read in time or within the size limit.
    Body(ReadBodyError),
    /// The request could not be built.
    Request(http::Error),
    /// The body is not the JSON form of a status.
    #[display(
        "the response is not an entry status: {_0}. Hint: give the entry's address for operators"
    )]
    Format(serde_json::Error),
}

/// Reads the status of the entry whose operators' interface is at `address`.
///
/// `timeout` applies to connecting and to reading the body, each on its own.
pub(crate) async fn read_status(
    address: SocketAddr,
    timeout: Duration,
) -> Result<EntryStatus, StatusError> {
    let mut connection = ClientConnection::open(address, timeout).await?;
    let request = Request::get(STATUS_PATH).header(HOST, address.to_string());
    let request = request.body(RequestBody::default())?;
    let response = connection.send(request).await?;
    let body = read_body(response.into_body(), STATUS_LIMIT_BYTES, timeout).await?;
    Ok(serde_json::from_slice(&body)?)
}
