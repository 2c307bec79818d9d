//! Tests that a submission is rejected if one of its fields is missing or invalid.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use basaltrail_protocol::submissions::parse_submission;
use serde_json::{json, Map, Value};

fn valid_submission() -> Map<String, Value> {
    let job = json!({"nameId": "job-000412", "shelf": "train", "desk": "vision",
        "binding": "array", "precedence": "urgent", "leaves": 16, "vcpus": 8.0, "gpus": 1.0,
        "ramGb": 64.0, "edition": "img-07", "sizeGb": 6.2, "formats": ["g8"], "room": "a",
        "samePlace": true, "apart": false, "remainders": true, "reckonS": 240.0,
        "bookmarkS": 30.0, "pressS": 4.0, "dueS": 900.0});
    job.as_object().unwrap().clone()
}

fn is_accepted(job: &Map<String, Value>) -> bool {
    parse_submission(serde_json::to_string(job).unwrap().as_bytes()).is_ok()
}

/// The fields that may be null or absent.
const OPTIONAL_FIELDS: [&str; 3] = ["formats", "room", "dueS"];

#[test]
fn absent_or_null_field_is_invalid_unless_it_is_optional() {
    assert!(is_accepted(&valid_submission()));
    for field in valid_submission().keys() {
        let is_optional = OPTIONAL_FIELDS.contains(&field.as_str());
        let mut job = valid_submission();
        job.insert(field.clone(), Value::Null);
        assert_eq!(is_accepted(&job), is_optional, "{field} null");
        job.remove(field);
        assert_eq!(is_accepted(&job), is_optional, "{field} absent");
    }
}

#[test]
fn field_of_the_wrong_type_is_invalid() {
    for (field, value) in valid_submission() {
        let values = [json!("1"), json!(1), json!(true), json!([1]), json!({"a": 1}), json!(1.5)];
        for new_value in values {
            // An amount may be an integer; a count must not have a fraction.
            let has_valid_type = match &value {
                Value::Number(number) => {
                    new_value.is_number() && (number.is_f64() || new_value.is_u64())
                }
                Value::String(_) => new_value.is_string(),
                Value::Bool(_) => new_value.is_boolean(),
                _ => false,
            };
            let mut job = valid_submission();
            job.insert(field.clone(), new_value.clone());
            let is_free_text = ["shelf", "desk", "edition", "room"].contains(&field.as_str());
            let is_valid = has_valid_type && (is_free_text || !value.is_string());
            assert_eq!(is_accepted(&job), is_valid, "{field}: {new_value}");
        }
    }
}

#[test]
fn values_out_of_range_are_invalid() {
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
    for (field, value, is_valid) in cases {
        let mut job = valid_submission();
        job.insert(field.into(), value.clone());
        assert_eq!(is_accepted(&job), is_valid, "{field}: {value}");
    }
}

/// A service is a job of the kind `daemon`, without an estimated run time and without a deadline.
#[test]
fn service_is_parsed_and_its_deadline_is_ignored() {
    let mut job = valid_submission();
    job.insert("binding".into(), json!("daemon"));
    job.insert("reckonS".into(), json!(0));
    job.insert("dueS".into(), Value::Null);
    let parse =
        |job: &Map<String, Value>| parse_submission(serde_json::to_string(job).unwrap().as_bytes());
    assert!(parse(&job).unwrap().1.is_service());
    job.insert("dueS".into(), json!(900.0));
    assert_eq!(parse(&job).unwrap().1.deadline_s, None);
    assert!(!parse(&valid_submission()).unwrap().1.is_service());
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
        let mut invalid = job.clone();
        invalid.insert(field.into(), value.clone());
        assert!(parse(&invalid).is_err(), "{field}: {value}");
        invalid.remove(field);
        assert_eq!(parse(&invalid).is_err(), field != "dueS", "{field} absent");
    }
}
