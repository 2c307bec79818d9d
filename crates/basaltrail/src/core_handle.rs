//! The way of a request from the HTTP servers to the core, and of its answer back.

use basaltrail_core::{Answer, Input, RequestId, UnavailableReason};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// After how many seconds a request is to be repeated that the core could not take.
const RETRY_AFTER_S: u32 = 1;

/// A request that waits for the core.
pub struct PendingRequest {
    /// Identifies the request to the core.
    pub id: RequestId,
    /// The input for the core.
    pub input: Input,
    /// Where the answer is sent.
    pub answer: oneshot::Sender<Answer>,
}

/// Hands requests to the core; clones share one queue.
#[derive(Clone)]
pub struct CoreHandle {
    requests: mpsc::Sender<PendingRequest>,
    next_id: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
}

impl CoreHandle {
    /// A handle with a queue of a length, and the core's end of the queue.
    pub fn new(queue_length: usize) -> (Self, mpsc::Receiver<PendingRequest>) {
        let (requests, receiver) = mpsc::channel(queue_length);
        let handle = CoreHandle {
            requests,
            next_id: Arc::new(AtomicU64::new(1)),
            ready: Arc::new(AtomicBool::new(false)),
        };
        (handle, receiver)
    }

    /// Hands a request to the core and waits for its answer. With a full queue it is answered at
    /// once that the controller is unavailable.
    pub async fn request(&self, input: impl FnOnce(RequestId) -> Input) -> Answer {
        let unavailable = Answer::Unavailable {
            retry_after_s: RETRY_AFTER_S,
            reason: UnavailableReason::TooManyRequests,
        };
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        if self.requests.try_send(PendingRequest { id, input: input(id), answer }).is_err() {
            return unavailable;
        }
        receiver.await.unwrap_or(unavailable)
    }

    /// Whether the controller is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets whether the controller is ready to serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }
}
