//! Submissions with a missing or invalid field: each field on its own.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use basaltrail_protocol::submissions::parse_submission;
use serde_json::{json, Map, Value};

fn good() -> Map<String, Value> {
    let job = json!({"nameId": "job-000412", "shelf": "train", "desk": "vision",
        "binding": "array", "precedence": "urgent", "leaves": 16, "vcpus": 8.0, "gpus": 1.0,
        "ramGb": 64.0, "edition": "img-07", "sizeGb": 6.2, "formats": ["g8"], "room": "a",
        "samePlace": true, "apart": false, "remainders": true, "reckonS": 240.0,
        "bookmarkS": 30.0, "pressS": 4.0, "dueS": 900.0});
    job.as_object().unwrap().clone()
}

fn accepted(job: &Map<String, Value>) -> bool {
    parse_submission(serde_json::to_string(job).unwrap().as_bytes()).is_ok()
}

/// These may be null or absent.
const OPTIONAL: [&str; 3] = ["formats", "room", "dueS"];

#[test]
fn an_absent_or_null_field_is_invalid_unless_it_is_optional() {
    assert!(accepted(&good()));
    for field in good().keys() {
        let is_optional = OPTIONAL.contains(&field.as_str());
        let mut job = good();
        job.insert(field.clone(), Value::Null);
        assert_eq!(accepted(&job), is_optional, "{field} null");
        job.remove(field);
        assert_eq!(accepted(&job), is_optional, "{field} absent");
    }
}

#[test]
fn a_field_of_another_type_is_invalid() {
    for (field, value) in good() {
        let others = [json!("1"), json!(1), json!(true), json!([1]), json!({"a": 1}), json!(1.5)];
        for other in others {
            // A number may be written without a fraction where it is an amount.
            let same = match &value {
                Value::Number(n) => other.is_number() && (n.is_f64() || other.is_u64()),
                Value::String(_) => other.is_string(),
                Value::Bool(_) => other.is_boolean(),
                _ => false,
            };
            let mut job = good();
            job.insert(field.clone(), other.clone());
            let free = ["shelf", "desk", "edition", "room"].contains(&field.as_str());
            let allowed = same && (free || !value.is_string());
            assert_eq!(accepted(&job), allowed, "{field}: {other}");
        }
    }
}

#[test]
fn amounts_and_counts_have_bounds() {
    let cases = [
        ("leaves", json!(0), false),
        ("leaves", json!(100_000), true),
        ("leaves", json!(100_001), false),
        ("vcpus", json!(0.0), false),
        ("vcpus", json!(-1.0), false),
        ("gpus", json!(0.0), true),
        ("gpus", json!(-0.5), false),
        ("ramGb", json!(-1), false),
        ("sizeGb", json!(-1), false),
        ("reckonS", json!(-1), false),
        ("bookmarkS", json!(-1), false),
        ("pressS", json!(-1), false),
        ("dueS", json!(-1), false),
        ("nameId", json!("job-12"), false),
        ("nameId", json!("job-0000412"), false),
        ("nameId", json!("job-00041x"), false),
        ("desk", json!(""), false),
        ("formats", json!([]), true),
        ("formats", json!([""]), false),
        ("formats", json!(["g8", 8]), false),
        ("precedence", json!("best_effort"), true),
        ("precedence", json!("Best_effort"), false),
        ("binding", json!("Array"), false),
    ];
    for (field, value, allowed) in cases {
        let mut job = good();
        job.insert(field.into(), value.clone());
        assert_eq!(accepted(&job), allowed, "{field}: {value}");
    }
}

/// A service differs from an array by its kind: it has no run time and no deadline.
#[test]
fn a_service_is_parsed_and_its_deadline_ignored() {
    let mut job = good();
    job.insert("binding".into(), json!("daemon"));
    job.insert("reckonS".into(), json!(0));
    job.insert("dueS".into(), Value::Null);
    let parse =
        |job: &Map<String, Value>| parse_submission(serde_json::to_string(job).unwrap().as_bytes());
    assert!(parse(&job).unwrap().1.is_service());
    job.insert("dueS".into(), json!(900.0));
    assert_eq!(parse(&job).unwrap().1.deadline_s, None);
    assert!(!parse(&good()).unwrap().1.is_service());
    for (field, value) in [
        ("leaves", json!(0)),
        ("leaves", json!(100_001)),
        ("dueS", json!(-1.0)),
        ("bookmarkS", json!(-1.0)),
        ("bookmarkS", Value::Null),
        ("reckonS", Value::Null),
        ("binding", json!("service")),
        ("binding", json!("Daemon")),
        ("binding", json!("gang")),
    ] {
        let mut bad = job.clone();
        bad.insert(field.into(), value.clone());
        assert!(parse(&bad).is_err(), "{field}: {value}");
        bad.remove(field);
        assert_eq!(parse(&bad).is_err(), field != "dueS", "{field} absent");
    }
}
