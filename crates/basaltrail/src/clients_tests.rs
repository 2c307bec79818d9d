use super::*;
use basaltrail_core::Revision;
use basaltrail_testbed::http::{serve, JsonReply};
use serde_json::json;
use warp::Filter;

/// A controller that was away asks for what changed meanwhile. An answer beyond its bound was taken for
/// none: the same watch was opened again, answered as long again, and the controller never caught up.
#[tokio::test]
async fn news_too_long_to_take_are_read_by_pages() {
    let value = "x".repeat(4_000);
    let news = warp::path!("changes").map(move || {
        let put = json!({"put": "j/a/000001", "v": value, "stamp": 7});
        JsonReply::new(200, json!({"impression": 7, "news": vec![put; 1_000]})).into_response()
    });
    let at = serve(news).await.unwrap();
    let watch = StoreRequest::Watch { prefix: "j/".into(), after: Revision(0), wait_ms: 0 };
    let small = Http::new(14.0).state(at, &watch, 5_000).await;
    assert_eq!(small, StoreReply::Compacted);
    let large = Http::new(700.0).state(at, &watch, 5_000).await;
    let StoreReply::Events { revision: Revision(7), events } = large else { panic!("{large:?}") };
    assert_eq!(events.len(), 1_000);
    let list = StoreRequest::List { prefix: "j/".into(), after: None, limit: 500 };
    let nobody = "127.0.0.1:1".parse().unwrap();
    assert_eq!(Http::new(14.0).state(nobody, &list, 500).await, StoreReply::Unknown);
}
