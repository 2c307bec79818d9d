//! Frames between controllers. Only the newest one matters, so none are queued.

use crate::bounded_listener::BoundedListener;
use basaltrail_core::Progress;
use basaltrail_protocol::frames;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// How long a connection may carry nothing before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a frame may take to be sent, and how long the next one waits after a failure.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the listener waits after it could not accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Receives frames from other controllers until the process ends.
pub async fn listen(
    listener: TcpListener,
    max_connections: usize,
    received: mpsc::Sender<Vec<Progress>>,
) {
    let connections = BoundedListener { listener, max_connections, accept_retry: ACCEPT_RETRY };
    connections.serve(|stream| receive_frames(stream, received.clone())).await;
}

/// Receives frames over one connection until it ends.
async fn receive_frames(stream: TcpStream, received: mpsc::Sender<Vec<Progress>>) {
    // A connection that fails is opened again by the other controller.
    let _ = try_receive_frames(stream, received).await;
}

/// Receives frames until the connection ends, carries nothing for too long, or carries something
/// else.
async fn try_receive_frames(
    mut stream: TcpStream,
    received: mpsc::Sender<Vec<Progress>>,
) -> Option<()> {
    let mut header = [0u8; frames::HEADER_BYTES];
    let mut body = Vec::new();
    loop {
        read_exact(&mut stream, &mut header).await?;
        let Some(length) = frames::body_length(&header) else {
            tracing::info!(event = %"peer_frame_refused");
            return None;
        };
        body.resize(length, 0);
        read_exact(&mut stream, &mut body).await?;
        // The progress is for display only, so it may be dropped while the core is behind.
        let _ = received.try_send(frames::decode_body(&body)?);
    }
}

async fn read_exact(stream: &mut TcpStream, buffer: &mut [u8]) -> Option<()> {
    tokio::time::timeout(IDLE_TIMEOUT, stream.read_exact(buffer)).await.ok()?.ok()?;
    Some(())
}

/// Sends every new frame to one other controller, until no more are made.
pub async fn send(to: SocketAddr, mut newest_frame: watch::Receiver<Vec<u8>>) {
    let mut connection: Option<TcpStream> = None;
    while newest_frame.changed().await.is_ok() {
        let frame = newest_frame.borrow_and_update().clone();
        let sent = tokio::time::timeout(SEND_TIMEOUT, send_frame(&mut connection, to, &frame));
        if !matches!(sent.await, Ok(Ok(()))) {
            connection = None;
            tokio::time::sleep(SEND_TIMEOUT).await;
        }
    }
}

async fn send_frame(
    connection: &mut Option<TcpStream>,
    to: SocketAddr,
    frame: &[u8],
) -> std::io::Result<()> {
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => TcpStream::connect(to).await?,
    };
    stream.write_all(frame).await?;
    *connection = Some(stream);
    Ok(())
}
