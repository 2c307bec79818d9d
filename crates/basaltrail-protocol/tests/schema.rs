//! Tests the published schema of `inspect limits --json` and validates answers against it.

use basaltrail_core::inspection::{ClassReport, LimitsReport, TeamReport};
use basaltrail_core::Revision;
use basaltrail_protocol::administration::Limits;

const PUBLISHED: &str = include_str!("../../../docs/schemas/limits.json");

/// The schema is generated from the types. To publish a new version, copy the JSON from the failure
/// message of this test into the schema file.
#[test]
fn published_schema_matches_the_types() {
    let generated = serde_json::to_value(schemars::schema_for!(Limits)).unwrap();
    let published: serde_json::Value = serde_json::from_str(PUBLISHED).unwrap_or_default();
    assert_eq!(published, generated, "{}", serde_json::to_string_pretty(&generated).unwrap());
}

#[test]
fn valid_answers_match_the_schema_and_invalid_answers_do_not() {
    let schema: serde_json::Value = serde_json::from_str(PUBLISHED).unwrap();
    let validator = jsonschema::validator_for(&schema).unwrap();
    let quota = Some((3, 60.0));
    let class =
        |class: &str, quota| ClassReport { class: class.into(), jobs: 2, quota, remaining: quota };
    let team = |max_cpus, used_cpus| TeamReport {
        team: "cataloguers".into(),
        guaranteed_cpus: 24.0,
        max_cpus,
        used_cpus,
        rejected_submissions: 7,
        classes: vec![class("c", quota), class("", None)],
    };
    let report = LimitsReport {
        controller: "stack-0".into(),
        leader: Some("stack-1".into()),
        revision: Revision(12),
        quotas_enforced: true,
        teams: vec![team(Some(48.0), Some(8.0)), team(None, None)],
    };
    let answer = serde_json::to_value(Limits::from(&report)).unwrap();
    assert!(validator.is_valid(&answer), "{answer}");
    for (pointer, invalid_value) in [
        ("/teams", "none".into()),
        ("/teams/0/limit", "48".into()),
        ("/node", serde_json::Value::Null),
    ] {
        let mut invalid = answer.clone();
        *invalid.pointer_mut(pointer).unwrap() = invalid_value;
        assert!(!validator.is_valid(&invalid), "{pointer}");
    }
}
