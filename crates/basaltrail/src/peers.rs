//! Frames between the controllers. Only the newest one matters, so none are queued.

use basaltrail_core::Progress;
use basaltrail_protocol::frames;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};

/// A connection that carries nothing for so long is given up.
const SILENCE: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(2);

/// Takes frames from other controllers.
pub async fn listen(listener: TcpListener, most: usize, to: mpsc::Sender<Vec<Progress>>) {
    let room = Arc::new(Semaphore::new(most));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        // Beyond the bound a connection is closed at once.
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        let to = to.clone();
        tokio::spawn(async move {
            let _ = read(stream, to).await;
            drop(permit);
        });
    }
}

async fn read(mut stream: TcpStream, to: mpsc::Sender<Vec<Progress>>) -> Option<()> {
    let mut header = [0u8; frames::HEADER_BYTES];
    let mut body = Vec::new();
    loop {
        tokio::time::timeout(SILENCE, stream.read_exact(&mut header)).await.ok()?.ok()?;
        let Some(len) = frames::body_bytes(&header) else {
            tracing::info!("event=peer_frame_refused");
            return None;
        };
        body.resize(len, 0);
        tokio::time::timeout(SILENCE, stream.read_exact(&mut body)).await.ok()?.ok()?;
        // Hints may be dropped when there is more to do.
        let _ = to.try_send(frames::read(&body)?);
    }
}

/// Sends the newest frame to one other controller, whenever there is a new one.
pub async fn send(to: SocketAddr, mut newest: watch::Receiver<Vec<u8>>) {
    let mut stream: Option<TcpStream> = None;
    while newest.changed().await.is_ok() {
        let frame = newest.borrow_and_update().clone();
        let sent = tokio::time::timeout(PATIENCE, async {
            if stream.is_none() {
                stream = Some(TcpStream::connect(to).await?);
            }
            match stream.as_mut() {
                Some(s) => s.write_all(&frame).await,
                None => Ok(()),
            }
        });
        if !matches!(sent.await, Ok(Ok(()))) {
            stream = None;
            tokio::time::sleep(PATIENCE).await;
        }
    }
}
