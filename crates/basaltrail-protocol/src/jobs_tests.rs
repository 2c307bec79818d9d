use super::*;

const GOOD: &str = r#"{"nameId":"job-000412","shelf":"train","desk":"vision","binding":"array",
    "precedence":"urgent","leaves":16,"vcpus":8.0,"gpus":1.0,"ramGb":64.0,"edition":"img-07",
    "sizeGb":6.2,"formats":["g8"],"room":null,"samePlace":true,"apart":false,"remainders":true,
    "reckonS":240.0,"bookmarkS":30.0,"pressS":4.0,"dueS":900.0,"later":{"unknown":1}}"#;

#[test]
fn a_submission_is_read() {
    let (job, spec) = submission(GOOD.as_bytes()).unwrap();
    assert_eq!(job, JobId(412));
    assert_eq!((spec.tasks, spec.priority, spec.deadline_s), (16, Priority::High, Some(900.0)));
    let none = GOOD.replace("\"formats\":[\"g8\"],\"room\":null,", "").replace("900.0", "null");
    let (_, spec) = submission(none.as_bytes()).unwrap();
    assert_eq!((spec.types, spec.zone, spec.deadline_s), (None, None, None));
}

#[test]
fn bad_submissions_are_refused() {
    for (from, to) in [
        ("\"job-000412\"", "\"job-412\""),
        ("\"job-000412\"", "412"),
        ("\"array\"", "\"group\""),
        ("\"urgent\"", "\"soon\""),
        ("\"leaves\":16", "\"leaves\":0"),
        ("\"leaves\":16", "\"leaves\":100001"),
        ("\"leaves\":16", "\"leaves\":1e30"),
        ("\"leaves\":16", "\"leaves\":-1"),
        ("\"vcpus\":8.0", "\"vcpus\":-8.0"),
        ("\"vcpus\":8.0", "\"vcpus\":NaN"),
        ("\"vcpus\":8.0", "\"vcpus\":1e999"),
        ("\"ramGb\":64.0", "\"ramGb\":\"64\""),
        ("\"apart\":false,", ""),
        ("[\"g8\"]", "\"g8\""),
        ("}}", "}"),
    ] {
        let body = GOOD.replacen(from, to, 1);
        assert_ne!(body, GOOD);
        assert!(submission(body.as_bytes()).is_err(), "{from} -> {to}");
    }
    for body in ["", "null", "[]", "\"x\"", "{}", "\u{0}"] {
        assert!(submission(body.as_bytes()).is_err(), "{body:?}");
    }
}
