//! Injection of faults.

use super::*;

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        let now = self.now;
        // Half of the controller faults target the leader, the others a random controller.
        let leader = self.leader().filter(|_| self.rng.random_bool(0.5));
        let controller = leader.unwrap_or_else(|| self.rng.random_range(0..CONTROLLERS));
        let delayed = self.rng.random_bool(0.6);
        let duration_ms = self.rng.random_range(2_000..25_000);
        let until = now + duration_ms;
        let kind = self.rng.random_range(0..26);
        match kind {
            0 | 1 => self.crash_controller(controller),
            2 => (0..CONTROLLERS).for_each(|i| self.crash_controller(i)),
            3 => {
                let duration_ms = self.rng.random_range(1_000..16_000);
                self.start_store_outage(duration_ms);
            }
            4 => self.controllers[controller].store_partition = Some((until, delayed)),
            5 => self.controllers[controller].store_refuses_until = until,
            6 => self.zone_partition = Some((until, delayed)),
            // Hangs shorter and longer than a lease.
            7 => self.hang_workers(0.4, 1_000..14_000),
            8 => self.for_share_of_workers(0.3, |worker| worker.downlink_lost_until = until),
            9 if !self.workers.is_empty() => {
                let machine = self.rng.random_range(0..self.workers.len());
                self.fail_machine(machine);
            }
            10 => self.reclaim_spot_machines(),
            11 => self.controllers[controller].pending_freeze_until = until,
            12 => {
                let zone = self.rng.random_range(0..2);
                self.partition_zone(zone, duration_ms, delayed);
            }
            13 => self.controllers[controller].worker_partition = Some((until, delayed)),
            14 => {
                // The controller is down for a minute or longer.
                let restart_after_ms = self.rng.random_range(60_000..90_000);
                self.stop_controller(controller, restart_after_ms);
            }
            15 => self.slow_provisioning = (self.rng.random_range(0..2), until + 30_000),
            16 => self.poll_storm_until = until + 10_000,
            17 => {
                // A controller freezes, and 4 to 9 s later the leader of that time.
                self.controllers[controller].pending_freeze_until = until;
                self.next_leader_freeze = now + self.rng.random_range(4_000..9_000);
            }
            18.. => self.inject_message_fault(kind, controller, delayed, until),
            _ => {}
        }
        self.faults_over_at = self.faults_over_at.max(until).max(self.store.down_until);
    }

    /// Injects a fault of messages or requests: the kinds from 18 on.
    fn inject_message_fault(&mut self, kind: u32, controller: usize, delayed: bool, until: u64) {
        match kind {
            18 => {
                self.unanswered_writes =
                    UnansweredWrites { until, share: 0.4, only_reply_lost: delayed }
            }
            19 => {
                self.duplicate_heartbeats =
                    DuplicateHeartbeats { until, share: 0.6, held_for_next_leader: delayed }
            }
            20 => self.for_share_of_workers(0.4, |worker| worker.uplink_lost_until = until),
            21 => {
                let hang_ms = self.rng.random_range(0..14_000);
                self.cancel_running_jobs(6, hang_ms);
            }
            22 => self.cancel_on_completion = CancelOnCompletion { until, share: 0.5 },
            23 => self.invalid_requests_until = until,
            24 => self.read_back_until = until,
            25 => {
                // The store refuses one controller, and also has an outage for all of them.
                self.controllers[controller].store_refuses_until = until;
                self.cancel_running_jobs(6, 0);
                let duration_ms = self.rng.random_range(1_000..CANCEL_MS + 10_000);
                self.start_store_outage(duration_ms);
            }
            _ => {}
        }
    }

    /// Reclaims a share of the spot machines, some without a notice.
    fn reclaim_spot_machines(&mut self) {
        let now = self.now;
        for worker in
            self.workers.iter_mut().filter(|worker| worker.spot && worker.reclaimed_at.is_none())
        {
            if self.rng.random_bool(0.5) {
                worker.reclaimed_at = Some(now + self.rng.random_range(2_000..9_000));
                worker.reclaim_announced = self.rng.random_bool(0.7);
                worker.next_heartbeat = worker.next_heartbeat.min(now + 500);
            }
        }
    }

    /// Takes the store down. Leases have their full TTL again after the outage.
    pub(super) fn start_store_outage(&mut self, duration_ms: u64) {
        self.store.down_until = self.now + duration_ms;
        for (ttl_ms, expires_at) in self.store.leases.values_mut() {
            *expires_at = self.now + duration_ms + *ttl_ms;
        }
        self.extend_faults(duration_ms);
    }

    /// Extends the period with faults to at least `duration_ms` from now.
    pub(super) fn extend_faults(&mut self, duration_ms: u64) {
        self.faults_over_at = self.faults_over_at.max(self.now + duration_ms);
    }

    /// Applies a fault to a random share of the workers.
    pub(super) fn for_share_of_workers(&mut self, share: f64, mut apply: impl FnMut(&mut Worker)) {
        for worker in &mut self.workers {
            if self.rng.random_bool(share) {
                apply(worker);
            }
        }
    }

    pub(super) fn hang_workers(&mut self, share: f64, duration_ms: std::ops::Range<u64>) {
        for worker in &mut self.workers {
            if self.rng.random_bool(share) {
                worker.hung_until = self.now + self.rng.random_range(duration_ms.clone());
            }
        }
        self.extend_faults(duration_ms.end);
    }

    pub(super) fn fail_machine(&mut self, machine: usize) {
        let worker = &mut self.workers[machine];
        worker.alive = false;
        worker.tasks.clear();
        worker.failed_at.get_or_insert(self.now);
    }

    /// Partitions a zone from everything outside it.
    pub(super) fn partition_zone(&mut self, zone: usize, duration_ms: u64, delayed: bool) {
        let until = self.now + duration_ms;
        self.zone_partition = Some((until, delayed));
        for (_, controller) in
            self.controllers.iter_mut().enumerate().filter(|(i, _)| i % 2 == zone)
        {
            controller.store_partition = Some((until, delayed));
            controller.isolated_until = until;
        }
        self.extend_faults(duration_ms);
    }

    /// Returns whether a job runs, is known to be accepted and will not be cancelled by its user.
    fn is_cancellable(&self, user: &User) -> bool {
        user.observed == Observed::Accepted
            && user.cancel_at.is_none()
            && self.workers.iter().any(|worker| worker.runs_job(user.job))
    }

    /// Returns the first job that [`Simulation::cancel_running_jobs`] would cancel.
    pub(super) fn cancellable_job(&self) -> Option<JobId> {
        self.users.iter().find(|user| self.is_cancellable(user)).map(|user| user.job)
    }

    /// Cancels up to `max_jobs` running jobs. If `hang_ms` is positive, up to eight of their
    /// machines hang.
    pub(super) fn cancel_running_jobs(&mut self, max_jobs: usize, hang_ms: u64) {
        let now = self.now;
        let mut hung = 0;
        let mut cancelled = 0;
        for i in 0..self.users.len() {
            if cancelled >= max_jobs || !self.is_cancellable(&self.users[i]) {
                continue;
            }
            let job = self.users[i].job;
            cancelled += 1;
            self.cancel_job(i);
            for worker in
                self.workers.iter_mut().filter(|worker| hang_ms > 0 && worker.runs_job(job))
            {
                if hung < 8 && now >= worker.hung_until {
                    worker.hung_until = now + 150 + hang_ms;
                    hung += 1;
                }
            }
        }
        self.extend_faults(hang_ms + 150);
    }

    /// Records a change of leader and delivers the held heartbeats to all controllers.
    pub(super) fn record_leader_change(&mut self) {
        let Some(leader) = self.leader() else { return };
        let epoch = self.controllers[leader].epoch;
        if self
            .leader_changes
            .last()
            .is_some_and(|(_, last, last_epoch)| (*last, *last_epoch) == (leader, epoch))
        {
            return;
        }
        self.leader_changes.push((self.now, leader, epoch));
        for heartbeat in std::mem::take(&mut self.held_heartbeats) {
            self.record_situation("old heartbeat reached a new leader");
            for controller in 0..CONTROLLERS {
                let at = self.now + self.rng.random_range(0..40);
                let heartbeat = Box::new(heartbeat.clone());
                self.send(
                    at,
                    controller,
                    0,
                    Message::Input(Input::Heartbeat { request_id: RequestId(0), heartbeat }),
                );
            }
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        self.controllers
            .iter()
            .position(|controller| controller.process.as_ref().is_some_and(Process::is_leading))
    }

    pub(super) fn crash_controller(&mut self, controller: usize) {
        let restart_after_ms = [20, 100, 400, 3_000, 3_000][self.rng.random_range(0..5)];
        self.stop_controller(controller, restart_after_ms);
    }

    /// Stops the process of a controller and starts a new one after `restart_after_ms`.
    pub(super) fn stop_controller(&mut self, controller: usize, restart_after_ms: u64) {
        self.controllers[controller].process = None;
        self.controllers[controller].epoch += 1;
        self.controllers[controller].pending_freeze_until = 0;
        self.controllers[controller].frozen_until = 0;
        self.faults_over_at = self.faults_over_at.max(self.now + restart_after_ms);
        let epoch = self.controllers[controller].epoch;
        self.send(self.now + restart_after_ms, controller, epoch, Message::Tick);
    }

    pub(super) fn heal_partitions(&mut self) {
        let now = self.now;
        for controller in &mut self.controllers {
            controller.store_partition =
                controller.store_partition.filter(|(until, _)| now < *until);
            controller.worker_partition =
                controller.worker_partition.filter(|(until, _)| now < *until);
        }
        self.zone_partition = self.zone_partition.filter(|(until, _)| now < *until);
    }
}
