//! The proxy through which every connection of a run goes. Each link can be held, delayed or
//! reset in either direction, as packets are between hosts.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are carried at once.
const CHUNK: usize = 16 * 1024;

/// What becomes of bytes in one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// They pass.
    Open,
    /// They are held until the link opens again, and then delivered in order.
    Held,
    /// They pass after a delay.
    Delayed(Duration),
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects.
    Forward,
    /// To the side that connects.
    Backward,
    /// Both.
    Both,
}

/// One link: an address to connect to, and what it leads to.
pub struct Link {
    /// Where the link begins.
    pub near: SocketAddr,
    forward: watch::Sender<Passage>,
    backward: watch::Sender<Passage>,
    /// How often all its connections were reset.
    resets: watch::Sender<u64>,
}

impl Link {
    /// Opens a link to an address.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn open(to: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let near = listener.local_addr()?;
        let (forward, _) = watch::channel(Passage::Open);
        let (backward, _) = watch::channel(Passage::Open);
        let (resets, _) = watch::channel(0);
        let link = Link { near, forward, backward, resets };
        tokio::spawn(accept(
            listener,
            to,
            link.forward.subscribe(),
            link.backward.subscribe(),
            link.resets.subscribe(),
        ));
        Ok(link)
    }

    /// Sets what becomes of bytes in a direction.
    pub fn set(&self, direction: Direction, passage: Passage) {
        if direction != Direction::Backward {
            self.forward.send_replace(passage);
        }
        if direction != Direction::Forward {
            self.backward.send_replace(passage);
        }
    }

    /// Closes every connection that is open.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    forward: watch::Receiver<Passage>,
    backward: watch::Receiver<Passage>,
    resets: watch::Receiver<u64>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (forward, backward, mut resets) = (forward.clone(), backward.clone(), resets.clone());
        resets.mark_unchanged();
        tokio::spawn(async move {
            tokio::select! {
                _ = connect(near, to, forward, backward) => {}
                _ = resets.changed() => {}
            }
        });
    }
}

async fn connect(
    near: TcpStream,
    to: SocketAddr,
    forward: watch::Receiver<Passage>,
    backward: watch::Receiver<Passage>,
) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(carry(near_read, far_write, forward), carry(far_read, near_write, backward));
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut passage: watch::Receiver<Passage>,
) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(read) = from.read(&mut chunk).await {
        let now = *passage.borrow();
        if let Passage::Delayed(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if passage.wait_for(|passage| *passage != Passage::Held).await.is_err() {
            return;
        }
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
