use super::*;
use crate::io::{KeyValue, WatchEvent};

const JITTER_MS: Ms = 10;

/// The election of controller n0 with the requests that it has sent.
struct TestElection {
    election: Election,
    now: Ms,
    in_flight: Vec<ElectionRequest>,
}

impl TestElection {
    fn new() -> Self {
        let settings = ElectionSettings {
            controller: "n0".into(),
            incarnation: 7,
            allocates_quotas: false,
            lease_ttl_ms: 3_500,
            lease_validity_ms: 3_490,
        };
        TestElection { election: Election::new(settings), now: 0, in_flight: Vec::new() }
    }

    /// Advances the time in small steps and sends all requests that are due.
    fn run_for(&mut self, duration_ms: Ms) {
        for _ in 0..duration_ms / JITTER_MS {
            self.now += JITTER_MS;
            self.in_flight.extend(self.election.due_requests(self.now, JITTER_MS));
        }
    }

    /// Removes and returns the oldest request in flight that matches.
    fn take(&mut self, matches: impl Fn(&ElectionPurpose) -> bool) -> ElectionCall {
        let is_match = |request: &ElectionRequest| matches(&request.call.purpose);
        let index = self.in_flight.iter().position(is_match);
        self.in_flight.remove(index.expect("the request is in flight")).call
    }

    fn reply(&mut self, call: ElectionCall, reply: StoreReply) {
        self.in_flight.extend(self.election.handle_reply(self.now, call, reply));
    }

    fn reply_to_list(&mut self, items: Vec<KeyValue>, revision: u64) {
        let call = self.take(|purpose| *purpose == ElectionPurpose::List);
        let revision = Revision(revision);
        self.reply(call, StoreReply::Page { items, more: false, revision });
    }

    fn reply_to_watch(&mut self, events: Vec<WatchEvent>, revision: u64) {
        let call = self.take(|purpose| *purpose == ElectionPurpose::Watch);
        self.reply(call, StoreReply::Events { revision: Revision(revision), events });
    }

    /// Runs until a campaign is in flight, under the lease with this number.
    fn campaign(&mut self, lease: u64) {
        self.run_for(100);
        let call = self.take(|purpose| matches!(purpose, ElectionPurpose::GrantLease { .. }));
        self.reply(call, StoreReply::LeaseGranted { lease_id: LeaseId(lease) });
        self.run_for(100);
    }

    fn take_campaign(&mut self) -> ElectionCall {
        self.take(|purpose| matches!(purpose, ElectionPurpose::Campaign { .. }))
    }

    /// Returns the leases that this controller has asked to revoke, without a reply so far.
    fn leases_being_revoked(&self) -> Vec<u64> {
        let revoked_lease = |request: &ElectionRequest| match request.request {
            StoreRequest::RevokeLease { lease_id } => Some(lease_id.0),
            _ => None,
        };
        self.in_flight.iter().filter_map(revoked_lease).collect()
    }
}

/// Returns the leader key as a list returns it.
fn leader_key(controller: &str, revision: u64, lease: u64) -> KeyValue {
    let record = LeaderRecord {
        controller: controller.into(),
        incarnation: 7,
        token: FencingToken(1),
        allocates_quotas: false,
    };
    KeyValue {
        key: LEADER_KEY.into(),
        value: encode(&record),
        mod_revision: Revision(revision),
        lease_id: Some(LeaseId(lease)),
    }
}

/// Returns an election whose first campaign had no reply and whose second is in flight, with the
/// revocation of the first lease, which has no reply either.
fn second_campaign() -> TestElection {
    let mut test = TestElection::new();
    test.run_for(100);
    test.reply_to_list(Vec::new(), 1);
    test.campaign(1);
    let first = test.take_campaign();
    test.reply(first, StoreReply::Unknown);
    assert_eq!(test.leases_being_revoked(), [1]);
    test.run_for(300);
    test.reply_to_list(Vec::new(), 3);
    test.campaign(2);
    test
}

/// Guards against two leaders at once: whatever the reply to the revocation of an earlier lease, it
/// says nothing about the campaign that is in flight, whose leader key may be there already.
#[test]
fn a_reply_to_a_revocation_leaves_the_campaign_in_flight() {
    for revocation_reply in [StoreReply::LeaseUpdated, StoreReply::NotFound, StoreReply::Unknown] {
        let mut test = second_campaign();
        let revocation = test.take(|purpose| *purpose == ElectionPurpose::RevokeLease);
        test.reply(revocation, revocation_reply.clone());
        // The leader key of the campaign is listed before the campaign's reply arrives.
        let watch = test.take(|purpose| *purpose == ElectionPurpose::Watch);
        test.reply(watch, StoreReply::Unknown);
        test.run_for(300);
        test.reply_to_list(vec![leader_key("n0", 4, 2)], 4);
        test.run_for(100);
        assert!(test.leases_being_revoked().is_empty(), "{revocation_reply:?}");
        let campaign = test.take_campaign();
        test.reply(campaign, StoreReply::Committed { revision: Revision(4) });
        assert!(test.election.holds_valid_lease(test.now), "{revocation_reply:?}");
    }
}

/// Guards against two leaders at once: a controller has read that the leader key of its campaign was
/// deleted, or written by another controller, before the campaign's reply arrives.
#[test]
fn a_term_that_ended_before_the_reply_to_its_campaign_does_not_begin() {
    let deletion = WatchEvent::Delete { key: LEADER_KEY.into(), mod_revision: Revision(5) };
    let other_leader = WatchEvent::Put(leader_key("n1", 6, 3));
    for (events, revision) in [(vec![deletion.clone()], 5), (vec![deletion, other_leader], 6)] {
        let mut test = second_campaign();
        test.reply_to_watch(vec![WatchEvent::Put(leader_key("n0", 4, 2))], 4);
        test.run_for(100);
        test.reply_to_watch(events, revision);
        let campaign = test.take_campaign();
        test.reply(campaign, StoreReply::Committed { revision: Revision(4) });
        assert_eq!(test.election.leader_term(), None);
        assert_eq!(test.leases_being_revoked(), [1, 2]);
    }
}

/// Guards against a leader that goes on after its leader key was deleted, which a watch may show
/// while keep-alives have no reply.
#[test]
fn a_leader_steps_down_when_its_key_is_deleted() {
    let mut test = second_campaign();
    let campaign = test.take_campaign();
    test.reply(campaign, StoreReply::Committed { revision: Revision(4) });
    test.reply_to_watch(vec![WatchEvent::Put(leader_key("n0", 4, 2))], 4);
    test.run_for(100);
    assert!(test.election.holds_valid_lease(test.now));
    let key = LEADER_KEY.into();
    test.reply_to_watch(vec![WatchEvent::Delete { key, mod_revision: Revision(5) }], 5);
    assert_eq!(test.election.leader_term(), None);
}

/// Guards against a controller that takes an earlier leader for the present one for good: the reply
/// to a watch that was sent before the last list must not replace what the list returned.
#[test]
fn events_that_are_older_than_the_list_are_skipped() {
    let mut test = TestElection::new();
    test.run_for(100);
    test.reply_to_list(Vec::new(), 1);
    test.run_for(100);
    test.election.step_down(test.now);
    test.run_for(100);
    test.reply_to_list(vec![leader_key("n2", 8, 5)], 9);
    test.reply_to_watch(vec![WatchEvent::Put(leader_key("n1", 2, 4))], 3);
    assert_eq!(test.election.leader_hint(), Some("n2"));
    assert_eq!(test.election.last_token_and_revision().1, Revision(9));
}

/// Guards against a leader that steps down because of the lease of its previous term.
#[test]
fn a_reply_to_a_keep_alive_of_the_previous_term_does_not_end_the_next() {
    let mut test = second_campaign();
    let campaign = test.take_campaign();
    test.reply(campaign, StoreReply::Committed { revision: Revision(4) });
    test.run_for(100);
    let old_keep_alive = test.take(|purpose| matches!(purpose, ElectionPurpose::KeepAlive { .. }));
    test.election.step_down(test.now);
    test.run_for(100);
    test.reply_to_list(Vec::new(), 5);
    test.campaign(3);
    let campaign = test.take_campaign();
    test.reply(campaign, StoreReply::Committed { revision: Revision(6) });
    test.reply(old_keep_alive, StoreReply::NotFound);
    assert!(test.election.holds_valid_lease(test.now));
}
