//! The HTTP side towards users and workers.

use basaltrail_core::{Answer, Input, RequestId, UnavailableReason};
use basaltrail_protocol::{administration, jobs, names, workers};
use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, Semaphore};
use warp::http::{Response, StatusCode};
use warp::Filter;

const BODY_MOST: usize = 64 * 1024;
/// A request line or body that takes longer is given up.
const PATIENCE: Duration = Duration::from_secs(20);

/// A request for the core, and where its answer goes.
pub struct Ask {
    pub req: RequestId,
    pub input: Input,
    pub answer: oneshot::Sender<Answer>,
}

#[derive(Clone)]
pub struct Request {
    pub asks: mpsc::Sender<Ask>,
    pub ready: Arc<AtomicBool>,
    pub next: Arc<AtomicU64>,
}

type Reply = Response<String>;

impl Request {
    /// Hands a request to the core; a full queue is an answer of its own, at once.
    async fn ask(&self, input: impl FnOnce(RequestId) -> Input) -> Answer {
        let busy =
            Answer::Unavailable { retry_after_s: 1, reason: UnavailableReason::TooManyRequests };
        let req = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (answer, wait) = oneshot::channel();
        if self.asks.try_send(Ask { req, input: input(req), answer }).is_err() {
            return busy;
        }
        wait.await.unwrap_or(busy)
    }
}

fn reply(status: u16, body: String, retry_s: Option<u32>) -> Reply {
    let mut r = Response::new(body);
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let h = r.headers_mut();
    h.insert("content-type", warp::http::HeaderValue::from_static("application/json"));
    if let Some(s) = retry_s {
        h.insert("retry-after", warp::http::HeaderValue::from(s));
    }
    r
}

fn to_user(answer: &Answer) -> Reply {
    let (status, body, retry) = jobs::answer(answer);
    reply(status, body, retry)
}

/// Reads a body up to the limit.
async fn body<B: Buf>(
    stream: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, &'static str> {
    let mut stream = std::pin::pin!(stream);
    let mut out = Vec::new();
    let work = async {
        while let Some(part) = stream.next().await {
            let mut part = part.map_err(|_| "body cut short")?;
            if out.len() + part.remaining() > BODY_MOST {
                return Err("body over 64 KiB");
            }
            while part.has_remaining() {
                let n = part.chunk().len();
                out.extend_from_slice(part.chunk());
                part.advance(n);
            }
        }
        Ok(())
    };
    match tokio::time::timeout(PATIENCE, work).await {
        Ok(Ok(())) => Ok(out.into()),
        Ok(Err(why)) => Err(why),
        Err(_) => Err("body too slow"),
    }
}

async fn submit<B: Buf>(
    stream: impl Stream<Item = Result<B, warp::Error>>,
    requests: Request,
) -> Result<Reply, Infallible> {
    let body = match body(stream).await {
        Ok(b) => b,
        Err(why) => return Ok(reply(400, jobs::error(why), None)),
    };
    Ok(match jobs::submission(&body) {
        Ok((job, spec)) => {
            let spec = Box::new(spec);
            to_user(&requests.ask(|req| Input::Submit { req, job, spec }).await)
        }
        Err(e) => reply(400, jobs::error(&e.to_string()), None),
    })
}

async fn heartbeat<B: Buf>(
    stream: impl Stream<Item = Result<B, warp::Error>>,
    requests: Request,
) -> Result<Reply, Infallible> {
    let heartbeat = match body(stream).await {
        Ok(b) => workers::heartbeat(&b).map_err(|e| e.to_string()),
        Err(why) => Err(why.to_string()),
    };
    let heartbeat = match heartbeat {
        Ok(r) => Box::new(r),
        Err(why) => {
            tracing::info!("event=report_refused why={why}");
            return Ok(reply(400, jobs::error(&why), None));
        }
    };
    Ok(match requests.ask(|req| Input::Heartbeat { req, heartbeat }).await {
        Answer::Commands { token, commands } => {
            reply(200, workers::commands(token, &commands), None)
        }
        Answer::NotLeader { leader } => reply(421, workers::not_leader(leader.as_deref()), None),
        other => to_user(&other),
    })
}

async fn about(id: String, requests: Request, cancel: bool) -> Result<Reply, Infallible> {
    let Some(job) = names::job(&id) else { return Ok(to_user(&Answer::NotFound)) };
    let input = |req| match cancel {
        true => Input::Cancel { req, job },
        false => Input::Poll { req, job },
    };
    Ok(to_user(&requests.ask(input).await))
}

fn routes(
    requests: Request,
) -> impl Filter<Extract = (impl warp::Reply,), Error = warp::Rejection> + Clone {
    let ready = requests.ready.clone();
    let with = warp::any().map(move || requests.clone());
    let heartbeat = warp::path!("checkin")
        .and(warp::post())
        .and(warp::body::stream())
        .and(with.clone())
        .and_then(heartbeat);
    let poll = warp::path!("api" / "jobs" / String)
        .and(warp::get())
        .and(with.clone())
        .and_then(|id, requests| about(id, requests, false));
    let submit = warp::path!("api" / "jobs")
        .and(warp::post())
        .and(warp::body::stream())
        .and(with.clone())
        .and_then(submit);
    let cancel = warp::path!("api" / "jobs" / String / "cancel")
        .and(warp::post())
        .and(with)
        .and_then(|id, requests| about(id, requests, true));
    let ready =
        warp::path!("ready").and(warp::get()).map(move || match ready.load(Ordering::Relaxed) {
            true => reply(200, "{}".into(), None),
            false => reply(503, jobs::error("not ready"), Some(1)),
        });
    heartbeat.or(poll).unify().or(submit).unify().or(cancel).unify().or(ready).unify()
}

/// Connections of operators at once.
const OPERATORS_MOST: usize = 8;

async fn limits(requests: Request) -> Result<Reply, Infallible> {
    Ok(match requests.ask(|req| Input::Inspect { req }).await {
        Answer::Limits(report) => {
            let limits = administration::limits(&report);
            reply(200, serde_json::to_string(&limits).unwrap_or_default(), None)
        }
        other => to_user(&other),
    })
}

/// Serves operators, who may read and change nothing, until the process ends.
pub async fn serve_operators(listener: TcpListener, requests: Request) {
    let with = warp::any().map(move || requests.clone());
    let routes = warp::path!("limits").and(warp::get()).and(with).and_then(limits);
    serve_routes(listener, OPERATORS_MOST, routes).await;
}

/// Serves until the process ends. Connections beyond the bound are closed at once.
pub async fn serve(listener: TcpListener, most: usize, requests: Request) {
    serve_routes(listener, most, routes(requests)).await;
}

async fn serve_routes<F>(listener: TcpListener, most: usize, routes: F)
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let room = Arc::new(Semaphore::new(most));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(warp::service(routes.clone()));
        tokio::spawn(async move {
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PATIENCE)
                .max_buf_size(BODY_MOST)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(permit);
        });
    }
}
