use super::*;
use crate::model::Revision;
use crate::settings::fixtures::job_spec;
use crate::store::records::JobRecord;

/// If jobs were confirmed by ascending id, steady requests for low ids would starve the others.
#[test]
fn jobs_are_confirmed_in_the_order_of_their_requests() {
    let job_cache = JobCache::new(10);
    let mut queue = RequestQueue::default();
    let poll = |id| ClientRequest::new(RequestId(id), RequestKind::Poll);
    queue.queue_confirmation(0, JobId(900), poll(1));
    for n in 0..20 {
        queue.queue_confirmation(0, JobId(n), poll(2 + n));
    }
    queue.queue_confirmation(0, JobId(900), poll(30));
    let (jobs, preconditions) = queue.next_confirmations(&job_cache, 8);
    assert_eq!(jobs[0].job, JobId(900));
    assert_eq!(jobs[0].requests.len(), 2);
    assert_eq!((jobs.len(), preconditions.len()), (4, 8));
    assert_eq!(queue.unconfirmed_count(), 17);
}

/// Guards against a second progress message replacing the counts of the first, so that jobs of the
/// first were shown as queued.
#[test]
fn progress_in_several_messages_is_merged() {
    let mut job_cache = JobCache::new(10);
    for job in [1, 2] {
        let record = JobRecord::new(0, job_spec(4, false));
        job_cache.put_active(JobId(job), Revision(job), record);
    }
    let mut queue = RequestQueue::default();
    let message = |job| [Progress { job: JobId(job), done: 1, running: 2 }];
    queue.update_progress(0, &job_cache, &message(1));
    queue.update_progress(0, &job_cache, &message(2));
    queue.update_progress(0, &job_cache, &message(3));
    let counts = |queue: &RequestQueue, job| queue.task_counts.get(&JobId(job)).copied();
    assert_eq!(counts(&queue, 1), Some(TaskCounts { done: 1, running: 2, received_at: 0 }));
    assert_eq!(counts(&queue, 2), Some(TaskCounts { done: 1, running: 2, received_at: 0 }));
    assert_eq!(counts(&queue, 3), None, "no such job");
    job_cache.put_outcome(JobId(1), JobOutcome::Done);
    queue.update_progress(0, &job_cache, &message(2));
    assert_eq!(counts(&queue, 1), None, "counts of an ended job are removed");
}
