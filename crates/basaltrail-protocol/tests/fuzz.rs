//! Feeds seeded random corruptions of valid bodies to every parser. No parser may panic, and the
//! values that it accepts must be within their bounds.

use basaltrail_core::*;
use basaltrail_protocol::{cloud, frames, heartbeats, store, submissions};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Valid bodies, which the test corrupts.
const VALID_BODIES: [&str; 9] = [
    r#"{"nameId":"job-000412","shelf":"t","desk":"v","binding":"array","precedence":"urgent","leaves":16,"vcpus":8.0,"gpus":1.0,"ramGb":64.0,"edition":"i","sizeGb":6.2,"formats":["g8"],"room":null,"samePlace":true,"apart":false,"remainders":true,"reckonS":240.0,"bookmarkS":30.0,"pressS":4.0,"dueS":900.0}"#,
    r#"{"stack":"m-000231","endpoint":"10.1.0.232:9000","format":"g8","room":"a","remainders":true,"tenure":1,"folio":88,"warrant":41,"recallS":null,"leaves":[{"leaf":"job-000412/3","printing":2,"condition":"running"},{"leaf":"job-000398/0","printing":1,"condition":"ended","colophon":"done"}]}"#,
    r#"{"formats":[{"name":"g8","vcpus":96,"gpus":8,"ramGb":768,"localGb":200,"fetchGbPerS":1.0,"price":12.0,"marketPrice":4.5,"bootS":45,"rooms":["a","b"]}]}"#,
    r#"{"stacks":["m-000231","m-000232"]}"#,
    r#"{"stacks":[{"nameId":"m-000231","endpoint":"10.1.0.232:9000","format":"g8","room":"a","remainders":true,"condition":"running","ageS":61.5}],"truncated":false}"#,
    r#"{"key":"a/b","v":{"x":[1,2]},"stamp":412,"loan":7}"#,
    r#"{"rows":[{"key":"a","v":1,"stamp":2}],"truncated":true,"impression":431}"#,
    r#"{"impression":433,"news":[{"put":"c/9","v":{},"stamp":433},{"remove":"c/d","stamp":432}]}"#,
    r#"{"failed":["a/b"],"impression":431}"#,
];
/// Texts that replace parts of valid bodies.
const FRAGMENTS: [&str; 14] = [
    "null",
    "-1",
    "1e999",
    "18446744073709551616",
    "NaN",
    "\"\"",
    "[]",
    "{}",
    "\\u0000",
    "\"",
    "{",
    "]",
    ",",
    "0.5",
];

/// Returns the body with one to three random changes.
fn corrupt(rng: &mut SmallRng, text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..4) {
        let start = rng.random_range(0..body.len());
        let end = (start + rng.random_range(0..9)).min(body.len());
        match rng.random_range(0..4) {
            0 => body[start] = rng.random(),
            1 => drop(body.drain(start..end)),
            2 => drop(
                body.splice(start..end, FRAGMENTS[rng.random_range(0..FRAGMENTS.len())].bytes()),
            ),
            _ => body.truncate(start.max(1)),
        }
        if body.is_empty() {
            body.push(b'{');
        }
    }
    body
}

fn cloud_requests() -> [CloudRequest; 4] {
    [
        CloudRequest::MachineTypes,
        CloudRequest::Provision {
            request_name: "r".into(),
            machine_type: "x".into(),
            zone: "a".into(),
            spot: true,
            count: 1,
        },
        CloudRequest::Terminate(Vec::new()),
        CloudRequest::List { after: None },
    ]
}

fn store_requests() -> [StoreRequest; 6] {
    [
        StoreRequest::Get("a".into()),
        StoreRequest::List { prefix: "a".into(), after: None, limit: 1 },
        StoreRequest::Transaction {
            preconditions: Vec::new(),
            puts: Vec::new(),
            deletes: Vec::new(),
        },
        StoreRequest::GrantLease { ttl_ms: 1 },
        StoreRequest::KeepAlive { lease_id: LeaseId(1) },
        StoreRequest::Watch { prefix: "a".into(), after: Revision(0), wait_ms: 0 },
    ]
}

/// Returns whether the parser accepts a submission, and checks the bounds of an accepted one.
fn check_submission(body: &[u8]) -> bool {
    let Ok((_, spec)) = submissions::parse_submission(body) else { return false };
    assert!((1..=submissions::MAX_TASKS).contains(&spec.tasks));
    assert!(
        spec.cpus > 0.0
            && spec.cpus.is_finite()
            && spec.memory_gb >= 0.0
            && spec.save_s.is_finite()
    );
    true
}

/// Checks that replies with an error status are never parsed as successful changes.
fn check_replies(status: u16, body: &[u8]) {
    for request in &cloud_requests() {
        let reply = cloud::parse_reply(request, status, body);
        if status != 200 {
            assert!(matches!(reply, Ok(CloudReply::Unknown | CloudReply::NoCapacity)));
        }
    }
    for request in &store_requests() {
        let reply = store::parse_reply(request, status, body);
        if status != 200 {
            assert!(!matches!(reply, Ok(StoreReply::Committed { .. } | StoreReply::LeaseUpdated)));
        }
    }
}

fn check_frame(frame: &[u8]) {
    let length = frame.get(..frames::HEADER_BYTES).and_then(frames::body_length);
    if let Some(length) = length {
        assert!(length <= frames::MAX_RECORDS * 16);
    }
    let _ = frames::decode_body(frame);
}

#[test]
fn parsers_do_not_panic_and_accepted_values_are_within_bounds() {
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..20_000 {
        let valid = VALID_BODIES[rng.random_range(0..VALID_BODIES.len())];
        let body = corrupt(&mut rng, valid);
        match check_submission(&body) {
            true => accepted += 1,
            false => rejected += 1,
        }
        let _ = heartbeats::parse_heartbeat(&body);
        let status = [200, 404, 409, 410, 429, 503, 700][rng.random_range(0..7)];
        check_replies(status, &body);
        check_frame(&body);
    }
    assert!(accepted > 20 && rejected > 1_000, "{accepted} accepted, {rejected} rejected");
}
