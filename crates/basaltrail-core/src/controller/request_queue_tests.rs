use super::*;
use crate::model::Revision;
use crate::settings::sample::a_job;
use crate::store::records::JobRecord;

/// Were the lowest ids confirmed first, a crowd of them would keep others waiting for
/// as long as it asks.
#[test]
fn jobs_are_confirmed_in_the_order_of_their_requests() {
    let job_cache = JobCache::new(10);
    let mut queue = RequestQueue::default();
    let poll = |n| ClientRequest::new(RequestId(n), RequestKind::Poll);
    queue.confirm(0, JobId(900), poll(1));
    for n in 0..20 {
        queue.confirm(0, JobId(n), poll(2 + n));
    }
    queue.confirm(0, JobId(900), poll(30));
    let (jobs, preconditions) = queue.take_confirmations(&job_cache, 8);
    assert_eq!(jobs[0].job, JobId(900));
    assert_eq!(jobs[0].requests.len(), 2);
    assert_eq!((jobs.len(), preconditions.len()), (4, 8));
    assert_eq!(queue.jobs_to_confirm(), 17);
}

/// The second part of a leader's progress replaced the first: its jobs showed as queued.
#[test]
fn progress_told_in_parts_is_shown_whole() {
    let mut job_cache = JobCache::new(10);
    for job in [1, 2] {
        let record = JobRecord::new(0, a_job(4, false));
        job_cache.put_active(JobId(job), Revision(job), record);
    }
    let mut queue = RequestQueue::default();
    let part = |job| [Progress { job: JobId(job), done: 1, running: 2 }];
    queue.update_progress(&job_cache, &part(1));
    queue.update_progress(&job_cache, &part(2));
    queue.update_progress(&job_cache, &part(3));
    let counts = |queue: &RequestQueue, job| queue.task_counts.get(&JobId(job)).copied();
    assert_eq!(counts(&queue, 1), Some(TaskCounts { done: 1, running: 2 }));
    assert_eq!(counts(&queue, 2), Some(TaskCounts { done: 1, running: 2 }));
    assert_eq!(counts(&queue, 3), None, "no such job");
    job_cache.put_outcome(JobId(1), JobOutcome::Done);
    queue.update_progress(&job_cache, &part(2));
    assert_eq!(counts(&queue, 1), None, "an ended job needs no display");
}
