use super::*;

/// Were the lowest ids checked first, a crowd of them would keep others waiting for
/// as long as it asks.
#[test]
fn checks_go_in_the_order_they_came() {
    let table = Table::new(10);
    let mut requests = RequestQueue::default();
    let ask = |n| Ask { req: ReqId(n), kind: Kind::Poll };
    requests.check(0, JobId(900), ask(1));
    for n in 0..20 {
        requests.check(0, JobId(n), ask(2 + n));
    }
    requests.check(0, JobId(900), ask(30));
    let (jobs, conds) = requests.take_checks(&table, 8);
    assert_eq!(jobs[0].job, JobId(900));
    assert_eq!(jobs[0].asks.len(), 2);
    assert_eq!((jobs.len(), conds.len()), (4, 8));
    assert_eq!(requests.jobs_to_check(), 17);
}
