//! A TCP listener that limits the number of open connections.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// A TCP listener that limits the number of open connections.
pub struct BoundedListener {
    /// Listener that accepts the connections.
    pub listener: TcpListener,
    /// Maximum number of open connections. Further connections are closed once accepted.
    pub max_connections: usize,
    /// Delay before the next attempt after a connection could not be accepted.
    pub accept_retry_delay: Duration,
}

impl BoundedListener {
    /// Accepts connections until the process ends and serves each one in its own task.
    pub async fn serve<F>(self, serve_connection: impl Fn(TcpStream) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let connections = Arc::new(Semaphore::new(self.max_connections));
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(self.accept_retry_delay).await;
                continue;
            };
            let Ok(permit) = connections.clone().try_acquire_owned() else { continue };
            let connection = serve_connection(stream);
            tokio::spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }
}
