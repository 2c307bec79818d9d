//! HTTP routes of the state service for one controller.

use super::messages::{LeaseRequest, ListQuery, TransactionRequest, WatchQuery};
use super::store::Store;
use super::StateService;
use crate::clock::Ms;
use crate::http::JsonReply;
use warp::filters::BoxedFilter;
use warp::path::Tail;
use warp::reply::Response;
use warp::Filter;

/// The service and its decision on the admission of one request.
struct Admission {
    service: StateService,
    /// The reply to a refused request is the error.
    decision: Result<(), JsonReply>,
}

impl Admission {
    /// Answers an admitted request with an operation on the store, and a refused one with its
    /// refusal.
    fn answer(self, operation: impl FnOnce(&mut Store, Ms) -> JsonReply) -> Response {
        let reply =
            self.decision.map_or_else(|refusal| refusal, |()| self.service.with_store(operation));
        reply.into_response()
    }
}

type AdmissionFilter = BoxedFilter<(Admission,)>;
type Route = BoxedFilter<(Response,)>;

/// Returns all routes. Each decides on admission only after it has parsed the request.
pub(super) fn all(service: StateService, controller: usize) -> Route {
    let admission = warp::any()
        .then(move || {
            let service = service.clone();
            async move {
                let decision = service.admit(controller).await;
                Admission { service, decision }
            }
        })
        .boxed();
    read(&admission)
        .or(transaction(&admission))
        .unify()
        .or(grant_lease(&admission))
        .unify()
        .or(renew_lease(&admission))
        .unify()
        .or(revoke_lease(&admission))
        .unify()
        .or(watch(&admission, controller))
        .unify()
        .boxed()
}

/// `GET /kv/KEY` reads one key, and `GET /kv?starts=PREFIX` a page of keys.
fn read(admission: &AdmissionFilter) -> Route {
    warp::path("kv")
        .and(warp::path::tail())
        .and(warp::get())
        .and(warp::query::<ListQuery>())
        .and(admission.clone())
        .map(|key: Tail, query: ListQuery, admission: Admission| {
            admission.answer(|store, _| match query.prefix.is_some() {
                true => store.list(&query),
                false => store.get(key.as_str()),
            })
        })
        .boxed()
}

fn transaction(admission: &AdmissionFilter) -> Route {
    warp::path!("txn")
        .and(warp::post())
        .and(warp::body::json())
        .and(admission.clone())
        .then(|request: TransactionRequest, admission: Admission| async move {
            let reply = match admission.decision {
                Ok(()) => admission.service.transact(request).await,
                Err(refusal) => refusal,
            };
            reply.into_response()
        })
        .boxed()
}

fn grant_lease(admission: &AdmissionFilter) -> Route {
    warp::path!("grants")
        .and(warp::post())
        .and(warp::body::json())
        .and(admission.clone())
        .map(|request: LeaseRequest, admission: Admission| {
            admission.answer(|store, now| store.grant_lease(now, request))
        })
        .boxed()
}

fn renew_lease(admission: &AdmissionFilter) -> Route {
    warp::path!("grants" / u64 / "extend")
        .and(warp::post())
        .and(admission.clone())
        .map(|lease, admission: Admission| {
            admission.answer(|store, now| store.renew_lease(now, lease))
        })
        .boxed()
}

fn revoke_lease(admission: &AdmissionFilter) -> Route {
    warp::path!("grants" / u64)
        .and(warp::delete())
        .and(admission.clone())
        .map(|lease, admission: Admission| admission.answer(|store, _| store.revoke_lease(lease)))
        .boxed()
}

fn watch(admission: &AdmissionFilter, controller: usize) -> Route {
    warp::path!("changes")
        .and(warp::get())
        .and(warp::query::<WatchQuery>())
        .and(admission.clone())
        .then(move |query: WatchQuery, admission: Admission| async move {
            let reply = match admission.decision {
                Ok(()) => admission.service.watch(controller, query).await,
                Err(refusal) => refusal,
            };
            reply.into_response()
        })
        .boxed()
}
