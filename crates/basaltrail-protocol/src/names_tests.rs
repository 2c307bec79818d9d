use super::*;

#[test]
fn every_identifier_has_exactly_one_valid_name() {
    assert_eq!(parse_job("job-000412"), Some(JobId(412)));
    assert_eq!(parse_job("job-1000412"), Some(JobId(1_000_412)));
    for invalid in [
        "job-412",
        "job-0000412",
        "job-00041x",
        "job-+00412",
        "Job-000412",
        "",
        "job-",
        "job-99999999999999999999999",
    ] {
        assert_eq!(parse_job(invalid), None, "{invalid}");
    }
    for number in [0, 7, 999_999, 1_000_000, u64::MAX] {
        assert_eq!(parse_job(&job_name(JobId(number))), Some(JobId(number)));
    }
    assert_eq!(parse_task("job-000412/3").map(|task| task.index), Some(3));
    assert_eq!(parse_task("job-000412/+3"), None);
    assert_eq!(parse_task("job-000412"), None);
}
