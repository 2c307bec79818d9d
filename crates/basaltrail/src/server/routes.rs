//! HTTP routes of users, workers and operators.

use super::body::{self, BodyError};
use crate::core_handle::CoreHandle;
use basaltrail_core::{Answer, Input};
use basaltrail_protocol::administration::Limits;
use basaltrail_protocol::submissions::{self, UserResponse};
use basaltrail_protocol::{heartbeats, names, Malformed};
use bytes::Buf;
use futures_util::Stream;
use warp::filters::BoxedFilter;
use warp::http::{HeaderValue, Response, StatusCode};
use warp::Filter;

/// `Retry-After` of `GET /ready` while the controller is not ready, in seconds.
const NOT_READY_RETRY_S: u32 = 1;

type HttpResponse = Response<String>;
type Route = BoxedFilter<(HttpResponse,)>;

/// Reasons why a request is refused before it reaches the core.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body is malformed.
    #[error(transparent)]
    Malformed(#[from] Malformed),
}

/// Returns the routes of users and workers.
pub(super) fn client_routes(core: CoreHandle) -> Route {
    let core = warp::any().map(move || core.clone()).boxed();
    heartbeat_route(&core)
        .or(poll_route(&core))
        .unify()
        .or(submit_route(&core))
        .unify()
        .or(cancel_route(&core))
        .unify()
        .or(ready_route(&core))
        .unify()
        .boxed()
}

/// Returns the routes of operators. All of them are read-only.
pub(super) fn operator_routes(core: CoreHandle) -> Route {
    let core = warp::any().map(move || core.clone());
    warp::path!("limits").and(warp::get()).and(core).then(inspect_limits).boxed()
}

fn heartbeat_route(core: &BoxedFilter<(CoreHandle,)>) -> Route {
    warp::path!("checkin")
        .and(warp::post())
        .and(warp::body::stream())
        .and(core.clone())
        .then(heartbeat)
        .boxed()
}

fn poll_route(core: &BoxedFilter<(CoreHandle,)>) -> Route {
    warp::path!("api" / "jobs" / String)
        .and(warp::get())
        .and(core.clone())
        .then(|name: String, core| poll(name, core))
        .boxed()
}

fn submit_route(core: &BoxedFilter<(CoreHandle,)>) -> Route {
    warp::path!("api" / "jobs")
        .and(warp::post())
        .and(warp::body::stream())
        .and(core.clone())
        .then(submit)
        .boxed()
}

fn cancel_route(core: &BoxedFilter<(CoreHandle,)>) -> Route {
    warp::path!("api" / "jobs" / String / "cancel")
        .and(warp::post())
        .and(core.clone())
        .then(|name: String, core| cancel(name, core))
        .boxed()
}

fn ready_route(core: &BoxedFilter<(CoreHandle,)>) -> Route {
    warp::path!("ready")
        .and(warp::get())
        .and(core.clone())
        .map(|core: CoreHandle| match core.is_ready() {
            true => respond(200, "{}".into(), None),
            false => respond(503, submissions::error_body("not ready"), Some(NOT_READY_RETRY_S)),
        })
        .boxed()
}

async fn submit<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    core: CoreHandle,
) -> HttpResponse {
    let parsed = read_and_parse(body, submissions::parse_submission).await;
    let (job, spec) = match parsed {
        Ok(submission) => submission,
        Err(error) => return respond_bad_request(&error),
    };
    let spec = Box::new(spec);
    respond_to_user(&core.request(|request_id| Input::Submit { request_id, job, spec }).await)
}

async fn poll(name: String, core: CoreHandle) -> HttpResponse {
    let Some(job) = names::parse_job(&name) else { return respond_to_user(&Answer::NotFound) };
    respond_to_user(&core.request(|request_id| Input::Poll { request_id, job }).await)
}

async fn cancel(name: String, core: CoreHandle) -> HttpResponse {
    let Some(job) = names::parse_job(&name) else { return respond_to_user(&Answer::NotFound) };
    respond_to_user(&core.request(|request_id| Input::Cancel { request_id, job }).await)
}

async fn heartbeat<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    core: CoreHandle,
) -> HttpResponse {
    let heartbeat = match read_and_parse(body, heartbeats::parse_heartbeat).await {
        Ok(heartbeat) => Box::new(heartbeat),
        Err(error) => {
            tracing::info!(event = %"heartbeat_malformed", reason = %error);
            return respond_bad_request(&error);
        }
    };
    match core.request(|request_id| Input::Heartbeat { request_id, heartbeat }).await {
        Answer::Commands { token, commands } => {
            respond(200, heartbeats::commands_body(token, &commands), None)
        }
        Answer::NotLeader { leader } => {
            respond(421, heartbeats::not_leader_body(leader.as_deref()), None)
        }
        other => respond_to_user(&other),
    }
}

async fn inspect_limits(core: CoreHandle) -> HttpResponse {
    match core.request(|request_id| Input::Inspect { request_id }).await {
        Answer::Limits(report) => {
            let limits = Limits::from(report.as_ref());
            respond(200, serde_json::to_string(&limits).unwrap_or_default(), None)
        }
        other => respond_to_user(&other),
    }
}

/// Reads and parses a request body.
async fn read_and_parse<B: Buf, T>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    parse: impl FnOnce(&[u8]) -> Result<T, Malformed>,
) -> Result<T, RequestError> {
    let body = body::read(body).await?;
    Ok(parse(&body)?)
}

fn respond_bad_request(error: &RequestError) -> HttpResponse {
    respond(400, submissions::error_body(&error.to_string()), None)
}

fn respond_to_user(answer: &Answer) -> HttpResponse {
    let UserResponse { status, body, retry_after_s } = submissions::user_response(answer);
    respond(status, body, retry_after_s)
}

fn respond(status: u16, body: String, retry_after_s: Option<u32>) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    if let Some(seconds) = retry_after_s {
        headers.insert("retry-after", HeaderValue::from(seconds));
    }
    response
}
