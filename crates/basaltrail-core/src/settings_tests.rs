use super::*;

/// Use and limit may both be infinite, and their difference is then not a number.
#[test]
fn a_team_without_a_limit_may_start_any_number_of_tasks() {
    let inf = f64::INFINITY;
    let team = |max| Team {
        name: "t".into(),
        guaranteed_cpus: 0.0,
        max_cpus: max,
        guaranteed_gpus: 0.0,
        max_gpus: inf,
    };
    let used = |cpus, gpus| Resources { cpus, gpus, memory_gb: 0.0 };
    let job = fixtures::job_spec(9, true);
    assert_eq!(team(inf).tasks_within_limit(used(inf, inf), &job), u32::MAX);
    assert_eq!(team(inf).tasks_within_limit(used(1e9, 0.0), &job), u32::MAX);
    assert_eq!(team(16.0).tasks_within_limit(used(8.0, 0.0), &job), 2);
    assert_eq!(team(16.0).tasks_within_limit(used(inf, 0.0), &job), 0);
}
