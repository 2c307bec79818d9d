//! Tests of valid settings files and of the errors for invalid ones.

use super::*;

/// Text of a valid settings file.
pub(crate) const VALID: &str = include_str!("../../tests/settings.toml");

#[test]
fn settings_are_parsed_and_unknown_keys_are_ignored() {
    let settings = parse("s.toml", &format!("later = 1\n{VALID}")).unwrap();
    assert_eq!(settings.core.teams.len(), 2);
    assert_eq!(settings.core.worker_lease_ms, 10_000);
    assert_eq!(settings.peers.len(), 2);
    let started = Objective::Started { class: "nightly-catalogue".into(), within_s: 40.0 };
    let objectives = &settings.core.objectives;
    assert!(objectives.contains(&started), "{objectives:?}");
}

/// A team without a guarantee and a limit has amounts of 0 or lacks the keys.
#[test]
fn an_amount_of_zero_means_no_guarantee_and_no_limit() {
    let team = "[[params.teams]]\nname = \"guest\"\n";
    for amounts in ["", "cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"] {
        let text = VALID.replacen(
            "[[params.objectives]]",
            &format!("{team}{amounts}\n[[params.objectives]]"),
            1,
        );
        let core = parse("s.toml", &text).unwrap().core;
        let without_guarantee = &core.teams[2];
        assert_eq!(
            (without_guarantee.guaranteed_cpus, without_guarantee.max_cpus),
            (0.0, f64::INFINITY)
        );
        assert!(core.weight(2).is_finite() && core.weight(2) > 0.0);
        assert_eq!(core.teams[0].max_cpus, 664.0);
    }
}

/// The next limits of the store may take effect at any time, so the smaller of the current and the
/// next value applies from the start. Any of the next limits may be missing.
#[test]
fn the_smaller_of_the_current_and_the_next_limit_applies() {
    let parse_with_next = |next: &str| {
        let next = format!("[params.state.next]\n{next}\n[params.cloud]");
        parse("s.toml", &VALID.replacen("[params.cloud]", &next, 1))
    };
    let limits = |settings: ProcessSettings| {
        let core = settings.core;
        (core.store_rps, core.write_rps, core.max_value_bytes, core.max_transaction_ops)
    };
    let current = (120.0, 40.0, 16 * 1024, 24);
    assert_eq!(limits(parse("s.toml", VALID).unwrap()), current);
    assert_eq!(limits(parse_with_next("").unwrap()), current);
    assert_eq!(limits(parse_with_next("txn_ops = 4").unwrap()), (120.0, 40.0, 16 * 1024, 4));
    let lower = parse_with_next("rps = 60\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4").unwrap();
    assert_eq!(limits(lower), (60.0, 15.0, 2048, 4));
    assert_eq!(limits(parse_with_next("rps = 500.0\nvalue_kb = 64.0").unwrap()), current);
    let line = VALID[..VALID.find("[params.cloud]").unwrap()].matches('\n').count() + 2;
    for (next, message) in [
        ("value_kb = 0.0", "params.state.next.value_kb must be above 0"),
        ("value_kb = -2.0", "params.state.next.value_kb must be above 0"),
        ("value_kb = inf", "params.state.next.value_kb must be above 0"),
        ("value_kb = 1.0", "params.state.next.value_kb must be 1.25 or more"),
        ("txn_ops = 1", "params.state.next.txn_ops must be 2 or more"),
        ("write_rps = 0", "params.state.next.write_rps must be above 0"),
        ("rps = nan", "params.state.next.rps must be above 0"),
    ] {
        assert_eq!(
            parse_with_next(next).unwrap_err().to_string(),
            format!("s.toml:{line}: {message}")
        );
    }
    for next in ["rps = \"x\"", "txn_ops = -1", "txn_ops = 2.5"] {
        assert!(parse_with_next(next).unwrap_err().to_string().starts_with("s.toml:"), "{next}");
    }
}

#[test]
fn an_error_in_the_settings_names_the_key() {
    let error_with = |from: &str, to: &str| {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID, "{from}");
        parse("s.toml", &text).unwrap_err().to_string()
    };
    assert!(error_with("size = 3", "size = \"x\"").starts_with("s.toml:"));
    assert!(error_with("127.0.0.1:7100", "nowhere").contains("listen"));
    assert!(error_with("lease_s = 10.0", "lease_s = 0.0").contains("workers.lease_s"));
    assert!(error_with("txn_ops = 24", "txn_ops = 0").contains("txn_ops"));
    assert!(error_with("max_connections = 600", "max_connections = 0").contains("max_connections"));
    assert!(error_with("\nrps = 120.0", "\nrps = 0.0").contains("state.rps"));
    assert!(error_with("value_kb = 16.0", "value_kb = 1.0").contains("state.value_kb must be 1.25"));
    let before_teams: String = VALID.split("[[params.teams]]").next().unwrap().into();
    let after_teams = &VALID[VALID.find("[[params.objectives]]").unwrap()..];
    let without_teams = parse("s.toml", &format!("{before_teams}teams = []\n{after_teams}"));
    assert!(without_teams.unwrap_err().to_string().contains("no team"));
    assert!(error_with("name = \"buyers\"", "name = \"cataloguers\"").contains("twice"));
}

#[test]
fn an_invalid_amount_of_a_team_is_reported_with_its_line() {
    let line = VALID[..VALID.find("name = \"buyers\"").unwrap()].matches('\n').count() + 1;
    let team_start = VALID.find("name = \"buyers\"").unwrap();
    let (before, team) = VALID.split_at(team_start);
    for (from, to, message) in [
        ("cpus_max = 664.0", "cpus_max = 1.0", "has a limit below its guarantee"),
        ("cpus_max = 664.0", "cpus_max = -1.0", "has an amount below 0"),
        ("cpus_max = 664.0", "cpus_max = inf", "has an amount below 0"),
    ] {
        let text = format!("{before}{}", team.replacen(from, to, 1));
        let error = parse("s.toml", &text).unwrap_err().to_string();
        assert_eq!(error, format!("s.toml:{line}: team \"buyers\" {message}"));
    }
}
