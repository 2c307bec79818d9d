//! What a controller knows of allotments, of the processes they are for, and of what was accepted
//! under each. It is told of records in the order of their revisions.

use crate::allotment::{Allotment, Demand};
use crate::revision::Revision;
use crate::room::Room;
use std::collections::BTreeMap;

/// Controllers, and allotments, that are kept at the most: records of others are passed over.
const NODES_MOST: usize = 256;
const ALLOTMENTS_MOST: usize = 16_384;

/// A job that a controller accepted out of its allotment.
#[derive(Clone, Debug, PartialEq)]
pub struct Acceptance {
    /// The controller.
    pub controller: String,
    /// What the job asks for.
    pub demand: Demand,
    /// The revision of the acceptance.
    pub mod_revision: Revision,
}

/// An allotment, and what is known to have been accepted under it.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The record.
    pub allotment: Allotment,
    /// Its mod revision.
    pub mod_revision: Revision,
    /// Whether every acceptance under it was seen. If it was read from a list, jobs that have
    /// ended since are missing, and more counts as unspent than is.
    pub complete: bool,
    spent: Vec<Room>,
}

impl Held {
    fn count(&mut self, acceptance: &Acceptance) {
        if acceptance.mod_revision <= self.mod_revision {
            return;
        }
        if let Some(entry) = self.allotment.entry_of(&acceptance.demand.class) {
            let cost = acceptance.demand.cost(self.allotment.horizon_s);
            self.spent[entry] = self.spent[entry].plus(cost);
        }
    }

    /// What of an entry may still be used, as far as is known.
    pub fn unspent(&self, entry: usize) -> Room {
        self.allotment.classes[entry].room().minus(self.spent[entry])
    }

    /// What of an entry was used.
    pub fn spent(&self, entry: usize) -> Room {
        self.spent[entry]
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Presence {
    incarnation: u64,
    mod_revision: Revision,
}

/// See the module.
#[derive(Clone, Debug, Default)]
pub struct View {
    controllers: BTreeMap<String, Presence>,
    /// By team and controller.
    allotments: BTreeMap<(String, String), Held>,
}

impl View {
    /// A process tells that it is there.
    pub fn learn_controller(&mut self, controller: &str, incarnation: u64, mod_revision: Revision) {
        let known = self.controllers.get(controller);
        let old = known.is_some_and(|presence| presence.mod_revision >= mod_revision);
        if !old && (known.is_some() || self.controllers.len() < NODES_MOST) {
            self.controllers.insert(controller.into(), Presence { incarnation, mod_revision });
        }
    }

    /// An allotment was read. `accepted` are the known acceptances of its controller and team;
    /// `complete` says whether none that ended can be missing among those after its mod revision.
    pub fn learn_allotment(
        &mut self,
        allotment: Allotment,
        mod_revision: Revision,
        accepted: impl Iterator<Item = Acceptance>,
        complete: bool,
    ) {
        let key = (allotment.team.clone(), allotment.controller.clone());
        let known = self.allotments.get(&key);
        if known.is_some_and(|held| held.mod_revision >= mod_revision)
            || (known.is_none() && self.allotments.len() >= ALLOTMENTS_MOST)
        {
            return;
        }
        let spent = vec![Room::default(); allotment.classes.len()];
        let mut held = Held { allotment, mod_revision, complete, spent };
        let own = |acceptance: &Acceptance| {
            acceptance.controller == key.1 && acceptance.demand.team == key.0
        };
        accepted.filter(own).for_each(|acceptance| held.count(&acceptance));
        self.allotments.insert(key, held);
    }

    /// A record of an allotment that cannot be read: whatever was known before is over.
    pub fn lose_allotment(&mut self, team: &str, controller: &str, mod_revision: Revision) {
        let key = (team.to_string(), controller.to_string());
        if self.allotments.get(&key).is_some_and(|held| held.mod_revision < mod_revision) {
            self.allotments.remove(&key);
        }
    }

    /// A job was accepted; each is told once.
    pub fn learn_acceptance(&mut self, acceptance: &Acceptance) {
        let key = (acceptance.demand.team.clone(), acceptance.controller.clone());
        if let Some(held) = self.allotments.get_mut(&key) {
            held.count(acceptance);
        }
    }

    /// The present process of a controller, and the mod revision of its record.
    pub fn presence(&self, controller: &str) -> Option<(u64, Revision)> {
        self.controllers
            .get(controller)
            .map(|presence| (presence.incarnation, presence.mod_revision))
    }

    /// The controllers, with the present process of each.
    pub fn controllers(&self) -> impl Iterator<Item = (&str, u64)> {
        self.controllers
            .iter()
            .map(|(controller, presence)| (controller.as_str(), presence.incarnation))
    }

    /// Whether a controller's process has written its record again since its allotment of a team was
    /// written: it asks for another one.
    pub fn asks_again(&self, held: &Held) -> bool {
        let presence = self.controllers.get(&held.allotment.controller);
        presence.is_some_and(|presence| presence.mod_revision > held.mod_revision)
    }

    /// The names of all controllers.
    pub fn controller_names(&self) -> Vec<String> {
        self.controllers.keys().cloned().collect()
    }

    /// The allotment of a team at a controller.
    pub fn held(&self, team: &str, controller: &str) -> Option<&Held> {
        // The key is owned; a lookup by reference would take a map of maps.
        self.allotments.get(&(team.to_string(), controller.to_string()))
    }

    /// All allotments of a team.
    pub fn of_team<'a>(&'a self, team: &'a str) -> impl Iterator<Item = &'a Held> + 'a {
        self.allotments.values().filter(move |held| held.allotment.team == team)
    }
}
