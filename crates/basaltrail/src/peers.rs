//! Sends and receives the frames that controllers exchange. Each frame replaces the one before it,
//! so only the latest frame is kept for sending.

use crate::bounded_listener::BoundedListener;
use basaltrail_core::Progress;
use basaltrail_protocol::frames;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Time without data after which an incoming connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for sending a frame, and the delay after a failure before the next frame is sent.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Receives frames from other controllers until the process ends.
pub async fn receive_frames(
    listener: TcpListener,
    max_connections: usize,
    progress: mpsc::Sender<Vec<Progress>>,
) {
    let connections =
        BoundedListener { listener, max_connections, accept_retry_delay: ACCEPT_RETRY_DELAY };
    connections.serve(|stream| serve_connection(stream, progress.clone())).await;
}

/// Receives frames over one connection until it ends.
async fn serve_connection(stream: TcpStream, progress: mpsc::Sender<Vec<Progress>>) {
    // The other controller reconnects after a failure.
    let _ = try_receive_frames(stream, progress).await;
}

/// Receives frames until the connection ends, is idle for [`IDLE_TIMEOUT`] or carries invalid data.
async fn try_receive_frames(
    mut stream: TcpStream,
    progress: mpsc::Sender<Vec<Progress>>,
) -> Option<()> {
    let mut header = [0u8; frames::HEADER_BYTES];
    let mut body = Vec::new();
    loop {
        read_before_timeout(&mut stream, &mut header).await?;
        let Some(length) = frames::body_length(&header) else {
            tracing::info!(event = %"peer_frame_refused");
            return None;
        };
        body.resize(length, 0);
        read_before_timeout(&mut stream, &mut body).await?;
        // Progress is for display only, so a frame is dropped if the queue is full.
        let _ = progress.try_send(frames::decode_body(&body)?);
    }
}

async fn read_before_timeout(stream: &mut TcpStream, buffer: &mut [u8]) -> Option<()> {
    tokio::time::timeout(IDLE_TIMEOUT, stream.read_exact(buffer)).await.ok()?.ok()?;
    Some(())
}

/// Sends the latest frame to another controller whenever it changes, until its sender is dropped.
pub async fn send_frames(peer: SocketAddr, mut latest_frame: watch::Receiver<Vec<u8>>) {
    let mut connection: Option<TcpStream> = None;
    while latest_frame.changed().await.is_ok() {
        let frame = latest_frame.borrow_and_update().clone();
        let sent = tokio::time::timeout(SEND_TIMEOUT, send_frame(&mut connection, peer, &frame));
        if !matches!(sent.await, Ok(Ok(()))) {
            connection = None;
            tokio::time::sleep(SEND_TIMEOUT).await;
        }
    }
}

async fn send_frame(
    connection: &mut Option<TcpStream>,
    peer: SocketAddr,
    frame: &[u8],
) -> std::io::Result<()> {
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => TcpStream::connect(peer).await?,
    };
    stream.write_all(frame).await?;
    *connection = Some(stream);
    Ok(())
}
