//! Reads request bodies, with limits on length and time.

use super::REQUEST_TIMEOUT;
use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt};

/// Maximum length of a body, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Reasons why a body could not be read. The message is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// The connection ended before the body was complete.
    #[error("body cut short")]
    Incomplete,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("body over 64 KiB")]
    TooLong,
    /// The body took longer than [`REQUEST_TIMEOUT`].
    #[error("body too slow")]
    Timeout,
}

/// Reads a body. Returns an error if it exceeds [`MAX_BODY_BYTES`] or [`REQUEST_TIMEOUT`].
pub(super) async fn read<B: Buf>(
    parts: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, BodyError> {
    let body = tokio::time::timeout(REQUEST_TIMEOUT, collect(parts)).await;
    body.unwrap_or(Err(BodyError::Timeout))
}

async fn collect<B: Buf>(
    parts: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, BodyError> {
    let mut parts = std::pin::pin!(parts);
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        let mut part = part.map_err(|_| BodyError::Incomplete)?;
        if body.len() + part.remaining() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        while part.has_remaining() {
            let length = part.chunk().len();
            body.extend_from_slice(part.chunk());
            part.advance(length);
        }
    }
    Ok(body.into())
}
