//! Passes requests from the HTTP servers to the core and returns the answers.

use basaltrail_core::{Answer, Input, RequestId, UnavailableReason};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Seconds after which a client may repeat a request that did not fit into the queue.
const RETRY_AFTER_S: u32 = 1;

/// A request in the queue of the core.
pub struct PendingRequest {
    /// ID of the request.
    pub request_id: RequestId,
    /// The input for the core.
    pub input: Input,
    /// Channel for the answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A handle that sends requests to the core. Clones share one queue.
#[derive(Clone)]
pub struct CoreHandle {
    requests: mpsc::Sender<PendingRequest>,
    next_request_id: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
}

impl CoreHandle {
    /// Returns a handle with a queue of the given length, and the receiving end of the queue.
    pub fn new(queue_length: usize) -> (Self, mpsc::Receiver<PendingRequest>) {
        let (requests, receiver) = mpsc::channel(queue_length);
        let handle = CoreHandle {
            requests,
            next_request_id: Arc::new(AtomicU64::new(1)),
            ready: Arc::new(AtomicBool::new(false)),
        };
        (handle, receiver)
    }

    /// Sends a request to the core and waits for the answer. If the queue is full, returns
    /// `Answer::Unavailable` at once.
    pub async fn request(&self, input: impl FnOnce(RequestId) -> Input) -> Answer {
        let unavailable = Answer::Unavailable {
            retry_after_s: RETRY_AFTER_S,
            reason: UnavailableReason::TooManyRequests,
        };
        let request_id = RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        if self
            .requests
            .try_send(PendingRequest { request_id, input: input(request_id), answer })
            .is_err()
        {
            return unavailable;
        }
        receiver.await.unwrap_or(unavailable)
    }

    /// Returns whether the controller is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets whether the controller is ready to serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }
}
