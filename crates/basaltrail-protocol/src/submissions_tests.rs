use super::*;

const VALID_SUBMISSION: &str = r#"{"nameId":"job-000412","shelf":"train","desk":"vision","binding":"array",
    "precedence":"urgent","leaves":16,"vcpus":8.0,"gpus":1.0,"ramGb":64.0,"edition":"img-07",
    "sizeGb":6.2,"formats":["g8"],"room":null,"samePlace":true,"apart":false,"remainders":true,
    "reckonS":240.0,"bookmarkS":30.0,"pressS":4.0,"dueS":900.0,"later":{"unknown":1}}"#;

#[test]
fn valid_submission_is_parsed_and_unknown_fields_are_ignored() {
    let (job, spec) = parse_submission(VALID_SUBMISSION.as_bytes()).unwrap();
    assert_eq!(job, JobId(412));
    assert_eq!((spec.tasks, spec.priority, spec.deadline_s), (16, Priority::High, Some(900.0)));
    let without_optional_fields = VALID_SUBMISSION
        .replace("\"formats\":[\"g8\"],\"room\":null,", "")
        .replace("900.0", "null");
    let (_, spec) = parse_submission(without_optional_fields.as_bytes()).unwrap();
    assert_eq!((spec.types, spec.zone, spec.deadline_s), (None, None, None));
}

#[test]
fn malformed_submissions_are_rejected() {
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
        let body = VALID_SUBMISSION.replacen(from, to, 1);
        assert_ne!(body, VALID_SUBMISSION);
        assert!(parse_submission(body.as_bytes()).is_err(), "{from} -> {to}");
    }
    for body in ["", "null", "[]", "\"x\"", "{}", "\u{0}"] {
        assert!(parse_submission(body.as_bytes()).is_err(), "{body:?}");
    }
}

/// The messages go to users, so they use the wire names of the fields.
#[test]
fn error_message_describes_the_invalid_field() {
    for (from, to, message) in [
        ("\"job-000412\"", "\"job-412\"", "nameId is not of the form job-NNNNNN"),
        ("\"array\"", "\"group\"", "binding must be array or daemon"),
        ("\"leaves\":16", "\"leaves\":0", "leaves must be 1 to 100000"),
        ("\"vcpus\":8.0", "\"vcpus\":0.0", "vcpus must be above 0"),
        ("\"ramGb\":64.0", "\"ramGb\":-1.0", "ramGb must be 0 or more"),
        ("\"dueS\":900.0", "\"dueS\":-1.0", "dueS must be 0 or more"),
        ("\"shelf\":\"train\"", "\"shelf\":\"\"", "a name is empty or too long"),
        ("\"room\":null", "\"room\":\"\"", "room is empty or too long"),
        ("[\"g8\"]", "[\"\"]", "formats is not a list of types"),
    ] {
        let error =
            parse_submission(VALID_SUBMISSION.replacen(from, to, 1).as_bytes()).unwrap_err();
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn body_that_is_not_an_object_is_rejected_with_the_message_of_earlier_versions() {
    let error = parse_submission(b"null").unwrap_err();
    let expected = "not a JSON object of the expected form: invalid type: null, \
                    expected struct Submission at line 1 column 4";
    assert_eq!(error.to_string(), expected);
}
