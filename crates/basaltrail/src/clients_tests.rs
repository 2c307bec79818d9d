use super::*;
use basaltrail_core::Revision;
use basaltrail_testbed::http::{serve, JsonReply};
use serde_json::json;
use warp::Filter;

/// A controller that was away watches for what changed meanwhile. An answer beyond its bound used
/// to count as none: the same watch was opened again and answered at the same length again, and
/// the controller never caught up.
#[tokio::test]
async fn a_watch_answer_that_is_too_long_is_replaced_by_a_list() {
    let value = "x".repeat(4_000);
    let changes = warp::path!("changes").map(move || {
        let put = json!({"put": "j/a/000001", "v": value, "stamp": 7});
        JsonReply::new(200, json!({"impression": 7, "news": vec![put; 1_000]})).into_response()
    });
    let address = serve(changes).await.unwrap();
    let watch = StoreRequest::Watch { prefix: "j/".into(), after: Revision(0), wait_ms: 0 };
    let small = HttpClient::new(14.0).call_store(address, &watch, 5_000).await;
    assert_eq!(small, StoreReply::Compacted);
    let large = HttpClient::new(700.0).call_store(address, &watch, 5_000).await;
    let StoreReply::Events { revision: Revision(7), events } = large else { panic!("{large:?}") };
    assert_eq!(events.len(), 1_000);
    let list = StoreRequest::List { prefix: "j/".into(), after: None, limit: 500 };
    let nobody = "127.0.0.1:1".parse().unwrap();
    let unanswered = HttpClient::new(14.0).call_store(nobody, &list, 500).await;
    assert_eq!(unanswered, StoreReply::Unknown);
}
