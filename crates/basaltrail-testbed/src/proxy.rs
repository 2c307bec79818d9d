//! A TCP proxy for the connections of a run, which simulates faults of the network between hosts.
//! Each link can be blocked or delayed, in one direction or both, and its connections can be reset.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes that are forwarded in one step.
const CHUNK_BYTES: usize = 16 * 1024;
/// Delay after a listener failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Treatment of the bytes in one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes are forwarded.
    Open,
    /// Bytes are held until the direction is no longer blocked, and then forwarded in order.
    Blocked,
    /// Bytes are forwarded after a delay.
    Delayed(Duration),
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Forward,
    /// From the server to the client.
    Backward,
    /// Both directions.
    Both,
}

/// State of a link, as observed by its connections.
#[derive(Clone)]
struct LinkState {
    forward: watch::Receiver<LinkMode>,
    backward: watch::Receiver<LinkMode>,
    /// Changes when the connections must be closed.
    resets: watch::Receiver<u64>,
}

/// A proxied connection path to one server.
pub struct Link {
    /// Address to which clients connect.
    pub address: SocketAddr,
    forward: watch::Sender<LinkMode>,
    backward: watch::Sender<LinkMode>,
    /// Number of resets of the link's connections.
    resets: watch::Sender<u64>,
}

impl Link {
    /// Opens a link to a server, on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn open(server: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (forward, forward_receiver) = watch::channel(LinkMode::Open);
        let (backward, backward_receiver) = watch::channel(LinkMode::Open);
        let (resets, resets_receiver) = watch::channel(0);
        let state = LinkState {
            forward: forward_receiver,
            backward: backward_receiver,
            resets: resets_receiver,
        };
        tokio::spawn(accept_connections(listener, server, state));
        Ok(Link { address, forward, backward, resets })
    }

    /// Sets the treatment of the bytes in one direction or both.
    pub fn set_mode(&self, direction: Direction, mode: LinkMode) {
        if direction != Direction::Backward {
            self.forward.send_replace(mode);
        }
        if direction != Direction::Forward {
            self.backward.send_replace(mode);
        }
    }

    /// Closes all open connections of the link.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Accepts connections of a link, and forwards each until it ends or is reset.
async fn accept_connections(listener: TcpListener, server: SocketAddr, state: LinkState) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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

/// Connects to the server and forwards the bytes of a connection in both directions.
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

/// Forwards bytes in one direction until the source closes the connection or writing fails.
async fn forward_bytes(
    mut source: OwnedReadHalf,
    mut destination: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = source.read(&mut chunk).await {
        let current_mode = *mode.borrow();
        if let LinkMode::Delayed(delay) = current_mode {
            tokio::time::sleep(delay).await;
        }
        if mode.wait_for(|mode| *mode != LinkMode::Blocked).await.is_err() {
            return;
        }
        if length == 0 || destination.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    let _ = destination.shutdown().await;
}
