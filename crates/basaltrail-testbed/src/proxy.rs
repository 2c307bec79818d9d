//! A TCP proxy through which every connection of a run goes. Each link can be blocked, delayed or
//! reset, in one direction or in both, as packets between hosts are.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// How long a listener waits after it could not accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// What happens to the bytes in one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// They are forwarded.
    Open,
    /// They are held until the link is open again, and then forwarded in order.
    Blocked,
    /// They are forwarded after a delay.
    Delayed(Duration),
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Forward,
    /// From the server to the client.
    Backward,
    /// Both.
    Both,
}

/// What the connections of a link follow.
#[derive(Clone)]
struct LinkState {
    forward: watch::Receiver<LinkMode>,
    backward: watch::Receiver<LinkMode>,
    resets: watch::Receiver<u64>,
}

/// A proxied address.
pub struct Link {
    /// The address that clients connect to.
    pub address: SocketAddr,
    forward: watch::Sender<LinkMode>,
    backward: watch::Sender<LinkMode>,
    /// How often all connections of the link were reset.
    resets: watch::Sender<u64>,
}

impl Link {
    /// Opens a link to a server.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn open(server: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (forward, forward_state) = watch::channel(LinkMode::Open);
        let (backward, backward_state) = watch::channel(LinkMode::Open);
        let (resets, reset_state) = watch::channel(0);
        let state =
            LinkState { forward: forward_state, backward: backward_state, resets: reset_state };
        tokio::spawn(accept_connections(listener, server, state));
        Ok(Link { address, forward, backward, resets })
    }

    /// Sets what happens to the bytes in a direction.
    pub fn set_mode(&self, direction: Direction, mode: LinkMode) {
        if direction != Direction::Backward {
            self.forward.send_replace(mode);
        }
        if direction != Direction::Forward {
            self.backward.send_replace(mode);
        }
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

async fn accept_connections(listener: TcpListener, server: SocketAddr, state: LinkState) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let LinkState { forward, backward, mut resets } = state.clone();
        resets.mark_unchanged();
        tokio::spawn(async move {
            tokio::select! {
                () = forward_connection(client, server, forward, backward) => {}
                _ = resets.changed() => {}
            }
        });
    }
}

async fn forward_connection(
    client: TcpStream,
    server: SocketAddr,
    forward: watch::Receiver<LinkMode>,
    backward: watch::Receiver<LinkMode>,
) {
    let Ok(server) = TcpStream::connect(server).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        forward_bytes(client_read, server_write, forward),
        forward_bytes(server_read, client_write, backward)
    );
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        let current_mode = *mode.borrow();
        if let LinkMode::Delayed(delay) = current_mode {
            tokio::time::sleep(delay).await;
        }
        if mode.wait_for(|mode| *mode != LinkMode::Blocked).await.is_err() {
            return;
        }
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
