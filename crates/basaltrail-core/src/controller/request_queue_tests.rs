use super::*;
use crate::settings::sample::a_job;

/// Were the lowest ids checked first, a crowd of them would keep others waiting for
/// as long as it asks.
#[test]
fn checks_go_in_the_order_they_came() {
    let job_cache = JobCache::new(10);
    let mut requests = RequestQueue::default();
    let ask = |n| ClientRequest::new(RequestId(n), RequestKind::Poll);
    requests.check(0, JobId(900), ask(1));
    for n in 0..20 {
        requests.check(0, JobId(n), ask(2 + n));
    }
    requests.check(0, JobId(900), ask(30));
    let (jobs, preconditions) = requests.take_checks(&job_cache, 8);
    assert_eq!(jobs[0].job, JobId(900));
    assert_eq!(jobs[0].asks.len(), 2);
    assert_eq!((jobs.len(), preconditions.len()), (4, 8));
    assert_eq!(requests.jobs_to_check(), 17);
}

/// The second part of a leader's progress replaced the first: its jobs showed as queued.
#[test]
fn progress_told_in_parts_is_shown_whole() {
    let mut job_cache = JobCache::new(10);
    for job in [1, 2] {
        let record = JobRecord::new(0, a_job(4, false));
        job_cache.put_active(JobId(job), Revision(job), record);
    }
    let mut requests = RequestQueue::default();
    let part = |job| [Progress { job: JobId(job), done: 1, running: 2 }];
    requests.show(&job_cache, &part(1));
    requests.show(&job_cache, &part(2));
    requests.show(&job_cache, &part(3));
    let shown = |requests: &RequestQueue, job| requests.display.get(&JobId(job)).copied();
    assert_eq!(shown(&requests, 1), Some((1, 2)));
    assert_eq!(shown(&requests, 2), Some((1, 2)));
    assert_eq!(shown(&requests, 3), None, "no such job");
    job_cache.put_final(JobId(1), JobOutcome::Done);
    requests.show(&job_cache, &part(2));
    assert_eq!(shown(&requests, 1), None, "an ended job needs no display");
}
