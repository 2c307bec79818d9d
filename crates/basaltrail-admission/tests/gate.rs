//! What a controller admits, and what it refuses.

use basaltrail_admission::*;

fn allotment(incarnation: u64, jobs: u32, work: f64) -> Allotment {
    let class = |name: &str| ClassRoom { class: name.into(), jobs, work, wait_s: 7 };
    Allotment {
        team: "t".into(),
        controller: "n".into(),
        incarnation,
        horizon_s: 100.0,
        classes: vec![class("c"), class(OTHER_CLASSES)],
    }
}

fn demand(class: &str) -> Demand {
    Demand { team: "t".into(), class: class.into(), cpus: 2.0, run_s: Some(10.0) }
}

fn view(allotment: Allotment, mod_revision: u64) -> View {
    let mut view = View::default();
    view.learn_allotment(allotment, Revision(mod_revision), std::iter::empty(), true);
    view
}

fn reason(refused: Result<Ticket, Refusal>) -> Reason {
    refused.expect_err("admitted").reason
}

#[test]
fn a_class_is_admitted_up_to_its_room_and_others_share_theirs() {
    let view = view(allotment(1, 2, 1_000.0), 5);
    let mut gate = Gate::new("n", 1, Mode::Allotted);
    for _ in 0..2 {
        let ticket = gate.admit(&view, demand("c")).unwrap();
        assert_eq!(ticket.condition(), Some(("t", Revision(5))));
    }
    let refused = gate.admit(&view, demand("c")).unwrap_err();
    assert_eq!((refused.reason, refused.retry_after_s), (Reason::Full, 7));
    assert!(gate.admit(&view, demand("x")).is_ok());
    assert!(gate.admit(&view, demand("y")).is_ok());
    assert_eq!(reason(gate.admit(&view, demand("z"))), Reason::Full);
    let other_team = Demand { team: "u".into(), ..demand("c") };
    assert_eq!(reason(gate.admit(&view, other_team)), Reason::NoAllotment);
}

/// The last job may be larger than what is left: it could never be admitted otherwise.
#[test]
fn one_job_may_be_larger_than_the_room() {
    let view = view(allotment(1, 9, 15.0), 5);
    let mut gate = Gate::new("n", 1, Mode::Allotted);
    assert!(gate.admit(&view, demand("c")).is_ok());
    assert_eq!(reason(gate.admit(&view, demand("c"))), Reason::Full);
}

#[test]
fn a_later_process_has_none_of_an_earlier_ones() {
    let view = view(allotment(1, 9, 1_000.0), 5);
    let mut gate = Gate::new("n", 2, Mode::Allotted);
    assert_eq!(reason(gate.admit(&view, demand("c"))), Reason::NoAllotment);
    assert!(gate.left(&view, "t").is_empty());
}

#[test]
fn what_was_not_carried_out_is_given_back() {
    let view = view(allotment(1, 1, 1_000.0), 5);
    let mut gate = Gate::new("n", 1, Mode::Allotted);
    let ticket = gate.admit(&view, demand("c")).unwrap();
    gate.settle(&ticket, Outcome::NotUsed);
    let ticket = gate.admit(&view, demand("c")).unwrap();
    gate.settle(&ticket, Outcome::Used);
    assert_eq!(reason(gate.admit(&view, demand("c"))), Reason::Full);
}

#[test]
fn an_allotment_that_moved_on_admits_nothing_until_the_next_is_known() {
    let mut view = view(allotment(1, 9, 1_000.0), 5);
    let mut gate = Gate::new("n", 1, Mode::Allotted);
    let ticket = gate.admit(&view, demand("c")).unwrap();
    gate.moved(&ticket);
    assert!(!gate.is_current(&view, &ticket));
    assert_eq!(reason(gate.renew(&view, ticket.clone())), Reason::Moved);
    view.learn_allotment(allotment(1, 1, 1_000.0), Revision(9), std::iter::empty(), true);
    let renewed = gate.renew(&view, ticket).unwrap();
    assert_eq!(renewed.condition(), Some(("t", Revision(9))));
    assert_eq!(reason(gate.admit(&view, demand("c"))), Reason::Full);
}

#[test]
fn without_allotments_everything_is_admitted_and_nothing_is_conditional() {
    let mut gate = Gate::new("n", 1, Mode::Open);
    let ticket = gate.admit(&View::default(), demand("c")).unwrap();
    assert_eq!(ticket.condition(), None);
    gate.set_mode(Mode::Allotted);
    assert!(!gate.is_current(&View::default(), &ticket), "it must ask again");
}

/// Jobs that fit into a guarantee together are within its bound, however long they run.
#[test]
fn work_counts_up_to_the_horizon() {
    let cost = |run_s| Demand { run_s, ..demand("c") }.cost(100.0).work;
    assert_eq!([Some(0.0), Some(10.0), Some(9e9), None].map(cost), [2.0, 20.0, 200.0, 200.0]);
}

#[test]
fn records_are_kept_under_short_names_and_odd_ones_are_not_sound() {
    let text = r#"{"t":"t","n":"n","i":1,"h":100.0,"r":[{"c":"c","j":2,"w":5.0,"s":7}]}"#;
    let read: Allotment = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), text);
    assert!(read.is_sound());
    let odd = [
        r#"{"t":"t","n":"n","i":1,"h":0.0,"r":[]}"#,
        r#"{"t":"t","n":"n","i":1,"h":100.0,"r":[{"c":"c","j":2,"w":-5.0,"s":7}]}"#,
    ];
    for text in odd {
        assert!(!serde_json::from_str::<Allotment>(text).unwrap().is_sound(), "{text}");
    }
}
