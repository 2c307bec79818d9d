use super::*;

fn job(n: u64, need: f64, spares: &[f64]) -> Candidate {
    Candidate { job: JobId(n), need, spares: spares.to_vec() }
}

fn ids(found: Vec<(JobId, f64)>) -> Vec<(u64, f64)> {
    let mut ids: Vec<(u64, f64)> = found.into_iter().map(|(j, s)| (j.0, s)).collect();
    ids.sort_by_key(|(j, _)| *j);
    ids
}

#[test]
fn one_large_job_gives_way_to_many_small_ones() {
    let all = vec![
        job(1, 400.0, &[10.0]),
        job(2, 20.0, &[11.0]),
        job(3, 20.0, &[12.0]),
        job(4, 0.0, &[-3.0]),
    ];
    let found = in_reach(all.clone(), 0.0, 10.0);
    assert_eq!(ids(found), [(2, 11.0), (3, 12.0), (4, -3.0)]);
    assert_eq!(in_reach(all, 400.0, 10.0).len(), 4);
}

#[test]
fn what_misses_one_date_tries_the_next() {
    let all = vec![job(1, 100.0, &[90.0, 5.0]), job(2, 50.0, &[5.0])];
    assert_eq!(ids(in_reach(all, 0.0, 10.0)), [(1, 90.0), (2, 5.0)]);
}
