use super::*;

fn read(text: &str) -> Result<Policy, String> {
    let s = crate::settings::tests::GOOD;
    let settings = crate::settings::parse("s.toml", s).unwrap();
    parse("p.sexp", text, &settings.core).map(|o| o.policy).map_err(|e| e.to_string())
}

#[test]
fn a_policy_is_read() {
    let p = read("; ours\n(policy (leader-lease 0.4)\n (sample 8) (weights (buyers 3)))").unwrap();
    assert_eq!((p.leader_lease, p.sample), (0.4, 8));
    assert_eq!(p.weights, [("buyers".to_string(), 3.0)]);
    assert_eq!(read("(policy)").unwrap(), Policy::default());
    let admission = read("(policy (admission (backlog-s 60)) (guarantee-leases 2))").unwrap();
    let bounded = AdmissionPolicy { backlog_s: 60.0, ..AdmissionPolicy::default() };
    assert_eq!((admission.admission, admission.guarantee_leases), (Some(bounded), Some(2.0)));
    assert_eq!(read("(policy (admission))").unwrap().admission, Some(AdmissionPolicy::default()));
}

/// The file under `deploy/` that turns allotments on.
#[test]
fn the_deployed_policy_is_read() {
    let policy = read(include_str!("../../../deploy/admission.policy")).unwrap();
    assert_eq!(policy.admission, Some(AdmissionPolicy::default()));
}

#[test]
fn a_bad_policy_names_file_and_line() {
    for (text, line, word) in [
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
        let e = read(text).unwrap_err();
        assert!(e.starts_with(&format!("p.sexp:{line}:")) && e.contains(word), "{text}: {e}");
    }
}
