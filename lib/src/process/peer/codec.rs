//! Encoding of calls and answers, identical to that of the transport.
//!
//! Measurements use it to count the bytes that the transport sends, rather than an estimate.

use std::io;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::ClientMessage;
use tarpc::Request;
use tarpc::Response;
use tarpc::context;
use tarpc::tokio_serde::Deserializer as _;
use tarpc::tokio_serde::Serializer as _;
use tarpc::tokio_serde::formats::Bincode;

use super::PeerServiceRequest;
use super::PeerServiceResponse;
use crate::process::exchange::wire::Frame;

/// The length, in bytes, of the prefix that holds a message's length.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// A message could not be encoded or decoded.
#[derive(Debug, Display, Error, From)]
#[display("invalid message: {source}. Hint: check that both ends run the same version")]
pub struct CodecError {
    source: io::Error,
}

/// Encodes the call numbered `call` with `frame`, without the length prefix.
pub fn encode_call(frame: Frame, call: u64) -> Result<Bytes, CodecError> {
    encode(&ClientMessage::Request(Request {
        context: context::current(),
        id: call,
        message: PeerServiceRequest::Exchange { frame },
    }))
}

/// Encodes the answer to the call numbered `call` with `frame`, without the length prefix.
pub fn encode_answer(frame: Frame, call: u64) -> Result<Bytes, CodecError> {
    encode(&Response {
        request_id: call,
        message: Ok(PeerServiceResponse::Exchange(frame)),
    })
}

/// Decodes a call and returns its frame; `None` if it is no call of the state exchange.
pub fn decode_call(message: Bytes) -> Result<Option<Frame>, CodecError> {
    let decoded: ClientMessage<PeerServiceRequest> = decode(message)?;
    match decoded {
        ClientMessage::Request(Request {
            message: PeerServiceRequest::Exchange { frame },
            ..
        }) => Ok(Some(frame)),
        _ => Ok(None),
    }
}

/// Decodes an answer and returns its frame; `None` if it is an error or another call's answer.
pub fn decode_answer(message: Bytes) -> Result<Option<Frame>, CodecError> {
    let decoded: Response<PeerServiceResponse> = decode(message)?;
    match decoded.message {
        Ok(PeerServiceResponse::Exchange(frame)) => Ok(Some(frame)),
        _ => Ok(None),
    }
}

fn encode<M>(message: &M) -> Result<Bytes, CodecError>
where
    M: Serialize,
{
    let codec: Bincode<(), M> = Bincode::default();
    Ok(pin!(codec).serialize(message)?)
}

fn decode<M>(message: Bytes) -> Result<M, CodecError>
where
    M: DeserializeOwned,
{
    let codec: Bincode<M, ()> = Bincode::default();
    Ok(pin!(codec).deserialize(&BytesMut::from(message))?)
}
