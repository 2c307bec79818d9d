use super::*;
use basaltrail_core::Revision;
use basaltrail_testbed::http::{serve, JsonReply};
use serde_json::json;
use warp::Filter;

/// A controller that was disconnected watches for the changes since then. A response that
/// exceeds the size limit must not count as no response: the controller would repeat the same watch,
/// get an equally long response and never catch up.
#[tokio::test]
async fn a_watch_response_that_is_too_long_is_reported_as_compacted() {
    let value = "x".repeat(4_000);
    let changes = warp::path!("changes").map(move || {
        let put = json!({"put": "j/a/000001", "v": value, "stamp": 7});
        JsonReply::new(200, json!({"impression": 7, "news": vec![put; 1_000]})).into_response()
    });
    let address = serve(changes).await.unwrap();
    let watch = StoreRequest::Watch { prefix: "j/".into(), after: Revision(0), wait_ms: 0 };
    let small_reply = HttpClient::new(14.0).call_store(address, &watch, 5_000).await;
    assert_eq!(small_reply, StoreReply::Compacted);
    let large_reply = HttpClient::new(700.0).call_store(address, &watch, 5_000).await;
    let StoreReply::Events { revision: Revision(7), events } = large_reply else {
        panic!("{large_reply:?}")
    };
    assert_eq!(events.len(), 1_000);
    let list = StoreRequest::List { prefix: "j/".into(), after: None, limit: 500 };
    let closed_port = "127.0.0.1:1".parse().unwrap();
    let refused_reply = HttpClient::new(14.0).call_store(closed_port, &list, 500).await;
    assert_eq!(refused_reply, StoreReply::Unknown);
}
