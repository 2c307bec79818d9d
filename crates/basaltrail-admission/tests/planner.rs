//! What a leader hands out.

use basaltrail_admission::*;

const BOUNDS: Bounds = Bounds { horizon_s: 100.0, jobs: 400, round_s: 10.0 };

fn load(team: &str, classes: &[(&str, u32)]) -> TeamLoad {
    let class = |(class, jobs): &(&str, u32)| {
        let waiting = Room { jobs: *jobs, work: f64::from(*jobs) * 10.0 };
        ClassLoad { class: (*class).into(), waiting }
    };
    TeamLoad {
        team: team.into(),
        guaranteed: 20.0,
        limit: 40.0,
        share: 0.5,
        served: 20.0,
        classes: classes.iter().map(class).collect(),
    }
}

fn controllers(count: usize) -> View {
    let mut view = View::default();
    for controller in 0..count {
        view.learn_controller(&format!("n{controller}"), 1, Revision(controller as u64 + 1));
    }
    view
}

fn sum(grants: &[Grant], team: &str, class: &str) -> Room {
    grants
        .iter()
        .filter(|grant| grant.allotment.team == team)
        .flat_map(|grant| &grant.allotment.classes)
        .filter(|entry| entry.class == class)
        .fold(Room::default(), |sum, entry| sum.plus(entry.room()))
}

/// The view takes the grants as written at these stamps.
fn arrive(view: &mut View, grants: &[Grant], mod_revision: u64) {
    for (n, grant) in grants.iter().enumerate() {
        let allotment = grant.allotment.clone();
        view.learn_allotment(
            allotment,
            Revision(mod_revision + n as u64),
            std::iter::empty(),
            true,
        );
    }
}

#[test]
fn a_flood_of_one_team_or_class_leaves_the_others_theirs() {
    let view = controllers(3);
    let teams = [load("flood", &[("a", 5_000), ("b", 0)]), load("calm", &[("c", 0)])];
    let grants = Planner::default().plan(&view, &BOUNDS, &teams);
    assert_eq!(sum(&grants, "flood", "a").jobs, 0);
    assert!(sum(&grants, "flood", "b").jobs >= 3, "the other class keeps its least share");
    let alone = Planner::default().plan(&view, &BOUNDS, &teams[1..]);
    assert_eq!(sum(&grants, "calm", "c").jobs, sum(&alone, "calm", "c").jobs);
    assert!(sum(&grants, "calm", "c").jobs >= 30);
}

#[test]
fn what_is_on_its_way_counts_until_the_view_has_it() {
    let mut view = controllers(3);
    let mut planner = Planner::default();
    let team = load("t", &[("c", 0)]);
    let first = planner.plan(&view, &BOUNDS, std::slice::from_ref(&team));
    assert_eq!(first.len(), 3);
    first.iter().for_each(|grant| planner.written(grant, Written::Done));
    assert!(planner.plan(&view, &BOUNDS, std::slice::from_ref(&team)).is_empty());
    arrive(&mut view, &first, 10);
    assert!(planner.plan(&view, &BOUNDS, &[team]).is_empty(), "nothing has changed");
}

/// A write without an answer is written again: until then it may come late.
#[test]
fn a_write_without_an_answer_is_settled_by_the_next() {
    let view = controllers(2);
    let mut planner = Planner::default();
    let team = [load("t", &[("c", 0)])];
    let first = planner.plan(&view, &BOUNDS, &team);
    planner.written(&first[0], Written::Perhaps);
    planner.written(&first[1], Written::Not);
    let second = planner.plan(&view, &BOUNDS, &team);
    assert_eq!(second.len(), 2);
    let bound = Planner::bound(&BOUNDS, &team[0], 20.0, 2).jobs;
    let both = sum(&first[..1], "t", "c").plus(sum(&second, "t", "c")).jobs;
    assert!(both <= bound, "{both} of {bound}");
}

#[test]
fn shares_follow_what_nodes_accept_and_none_goes_without() {
    let mut view = controllers(3);
    let mut planner = Planner::default();
    let team = [load("t", &[("c", 0)])];
    let mut mod_revision = 10;
    let mut grants = planner.plan(&view, &BOUNDS, &team);
    for _ in 0..8 {
        grants.iter().for_each(|grant| planner.written(grant, Written::Done));
        arrive(&mut view, &grants, mod_revision);
        mod_revision += 100;
        // All of it is used at one controller, and has ended by the next plan.
        let used = view.held("t", "n1").unwrap().unspent(0).jobs;
        for n in 0..u64::from(used) {
            let demand =
                Demand { team: "t".into(), class: "c".into(), cpus: 1.0, run_s: Some(1.0) };
            let mod_revision = Revision(mod_revision - 50 + n % 50);
            view.learn_acceptance(&Acceptance { controller: "n1".into(), demand, mod_revision });
        }
        grants = planner.plan(&view, &BOUNDS, &team);
    }
    let has = |controller: &str| view.held("t", controller).unwrap().allotment.classes[0].jobs;
    assert!(has("n1") >= 2 * has("n0"), "{} and {}", has("n1"), has("n0"));
    assert!(has("n0") >= 1 && has("n2") >= 1);
}

#[test]
fn a_new_process_gets_an_allotment_of_its_own() {
    let mut view = controllers(2);
    let mut planner = Planner::default();
    let team = [load("t", &[("c", 0)])];
    let first = planner.plan(&view, &BOUNDS, &team);
    first.iter().for_each(|grant| planner.written(grant, Written::Done));
    arrive(&mut view, &first, 10);
    view.learn_controller("n1", 2, Revision(50));
    let second = planner.plan(&view, &BOUNDS, &team);
    assert_eq!(second.len(), 1);
    assert_eq!((second[0].allotment.incarnation, second[0].replaces), (2, Revision(11)));
}

/// One controller's record holds much that it has not used; it and another's are replaced at once.
#[test]
fn what_is_left_of_a_record_counts_while_it_is_replaced() {
    let mut view = controllers(2);
    let held = |controller: &str, jobs| {
        let class = |name: &str, jobs| ClassRoom {
            class: name.into(),
            jobs,
            work: f64::from(jobs) * 10.0,
            wait_s: 5,
        };
        Allotment {
            team: "t".into(),
            controller: controller.into(),
            incarnation: 1,
            horizon_s: 100.0,
            classes: vec![class("c", jobs), class(OTHER_CLASSES, 0)],
        }
    };
    view.learn_allotment(held("n0", 140), Revision(10), std::iter::empty(), true);
    view.learn_allotment(held("n1", 0), Revision(11), std::iter::empty(), true);
    let team = [load("t", &[("c", 0)])];
    let bound = Planner::bound(&BOUNDS, &team[0], 20.0, 2).jobs;
    let grants = Planner::default().plan(&view, &BOUNDS, &team);
    let granted = sum(&grants, "t", "c").plus(sum(&grants, "t", OTHER_CLASSES)).jobs;
    assert!(140 + granted <= bound, "{granted} beside 140 of {bound}");
}

/// Controllers join one after the other, and the view shows none of the records that were written.
#[test]
fn what_was_written_counts_for_the_others_until_the_view_has_it() {
    let mut view = View::default();
    let mut planner = Planner::default();
    let team = [load("t", &[])];
    let mut granted = Room::default();
    let mut bound = 0;
    for controller in 0..16 {
        view.learn_controller(&format!("n{controller:02}"), 1, Revision(controller + 1));
        let grants = planner.plan(&view, &BOUNDS, &team);
        grants.iter().for_each(|grant| planner.written(grant, Written::Done));
        granted = granted.plus(sum(&grants, "t", OTHER_CLASSES));
        bound = Planner::bound(&BOUNDS, &team[0], 20.0, controller as usize + 1).jobs;
    }
    assert!(granted.jobs <= bound, "{} of {bound}", granted.jobs);
}

#[test]
fn a_node_that_asks_again_gets_another_record() {
    let mut view = controllers(2);
    let mut planner = Planner::default();
    let team = [load("t", &[("c", 0)])];
    let first = planner.plan(&view, &BOUNDS, &team);
    first.iter().for_each(|grant| planner.written(grant, Written::Done));
    arrive(&mut view, &first, 10);
    assert!(planner.plan(&view, &BOUNDS, &team).is_empty());
    view.learn_controller("n1", 1, Revision(50));
    let second = planner.plan(&view, &BOUNDS, &team);
    assert_eq!(second.len(), 1);
    assert_eq!((second[0].allotment.controller.as_str(), second[0].replaces), ("n1", Revision(11)));
}
