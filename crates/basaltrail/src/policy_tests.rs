//! Tests of valid policy files and of the errors for invalid ones.

use super::*;

fn parse_policy(text: &str) -> Result<Policy, String> {
    let settings = crate::settings::parse("s.toml", crate::settings::tests::VALID).unwrap();
    let operator_settings = parse("p.sexp", text, &settings.core);
    operator_settings.map(|parsed| parsed.policy).map_err(|error| error.to_string())
}

#[test]
fn a_policy_is_parsed_and_missing_keys_have_defaults() {
    let policy =
        parse_policy("; ours\n(policy (leader-lease 0.4)\n (sample 8) (weights (buyers 3)))")
            .unwrap();
    assert_eq!((policy.leader_lease_fraction, policy.placement_sample_size), (0.4, 8));
    assert_eq!(policy.weights, [("buyers".to_string(), 3.0)]);
    assert_eq!(parse_policy("(policy)").unwrap(), Policy::default());
    let with_admission =
        parse_policy("(policy (admission (backlog-s 60)) (guarantee-leases 2))").unwrap();
    let expected = AdmissionPolicy { backlog_s: 60.0, ..AdmissionPolicy::default() };
    assert_eq!(
        (with_admission.admission, with_admission.guarantee_wait_leases),
        (Some(expected), Some(2.0))
    );
    assert_eq!(
        parse_policy("(policy (admission))").unwrap().admission,
        Some(AdmissionPolicy::default())
    );
}

/// The policy file under `deploy/` turns admission quotas on.
#[test]
fn the_deployed_policy_is_valid() {
    let policy = parse_policy(include_str!("../../../deploy/admission.policy")).unwrap();
    assert_eq!(policy.admission, Some(AdmissionPolicy::default()));
}

#[test]
fn an_error_in_a_policy_names_file_and_line() {
    for (text, line, message) in [
        ("(policy\n (sample 8)\n (smaple 9))", 3, "unknown key"),
        ("(policy\n (leader-lease 2))", 2, "0.1 to 0.9"),
        ("(policy\n\n (round-s soon))", 3, "number"),
        ("(policy (sample 8)\n (sample 9))", 2, "twice"),
        ("(policy (weights\n (nobody 1)))", 2, "no team"),
        ("(policy (weights\n (buyers -1)))", 2, "above 0"),
        ("(policy (admission\n (backlog-s -1)))", 2, "backlog-s must be"),
        ("(policy (admission (backlog-s 9)\n (class-least 0.9)))", 2, "class-least must be"),
        ("(policy\n (admission (backlog 9)))", 2, "admission has no"),
        ("(policy\n (guarantee-leases 0))", 2, "0.5 to"),
        ("(policy\n (administration \"here\"))", 2, "takes an address"),
        ("(rules)", 1, "expected (policy"),
        ("(policy\n (sample 8)", 2, ""),
    ] {
        let error = parse_policy(text).unwrap_err();
        let names_line = error.starts_with(&format!("p.sexp:{line}:"));
        assert!(names_line && error.contains(message), "{text}: {error}");
    }
}
