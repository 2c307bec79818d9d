//! Sends the calls that read, store and refresh the machine types. [`crate::machines::types`]
//! decides which call is due.

use super::Controller;
use crate::io::{CloudReply, CloudRequest, Precondition, PutRequest, StoreReply, StoreRequest};
use crate::machines::types::MachineTypesCall;
use crate::model::{Ms, Revision};
use crate::store::calls::{CloudPurpose, StorePurpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::MACHINE_TYPES_KEY;

impl Controller {
    /// Reads or writes the stored machine types or requests them from the cloud, if that is due and
    /// the rate limits allow it.
    pub(super) fn update_machine_types(&mut self) {
        let leads = self.leader.is_some();
        let Some(call) = self.machine_types.call_due(self.now, self.cfg.max_value_bytes, leads)
        else {
            return;
        };
        let timeout_ms = self.cfg.worker_lease_ms / 3;
        match call {
            MachineTypesCall::Read => {
                if self.calls.try_acquire(self.now, CallPriority::Request) {
                    self.machine_types.record_sent();
                    let request = StoreRequest::Get(MACHINE_TYPES_KEY.into());
                    self.calls.send_to_store(StorePurpose::ReadMachineTypes, request, timeout_ms);
                }
            }
            MachineTypesCall::Write { value, mod_revision } => {
                if self.calls.try_acquire(self.now, CallPriority::Request)
                    && self.calls.write_limiter.try_acquire(self.now, 1.0, CallPriority::Request)
                {
                    self.machine_types.record_sent();
                    self.write_machine_types(value, mod_revision, timeout_ms);
                }
            }
            MachineTypesCall::RequestFromCloud => {
                if self.calls.cloud_limiter.try_acquire(self.now, 1.0, CallPriority::Lease) {
                    self.machine_types.record_sent();
                    let request = CloudRequest::MachineTypes;
                    self.calls.send_to_cloud(CloudPurpose::MachineTypes, request, timeout_ms);
                }
            }
        }
    }

    /// Returns the interval at which the machine types are requested or read again, in milliseconds.
    fn refresh_interval_ms(&self) -> Ms {
        self.cfg.worker_lease_ms * 6
    }

    fn write_machine_types(&mut self, value: String, mod_revision: Revision, timeout_ms: Ms) {
        let request = StoreRequest::Transaction {
            preconditions: vec![Precondition::new(MACHINE_TYPES_KEY, mod_revision)],
            puts: vec![PutRequest::new(MACHINE_TYPES_KEY, value)],
            deletes: Vec::new(),
        };
        self.calls.send_to_store(StorePurpose::WriteMachineTypes, request, timeout_ms);
    }

    /// Handles the store's reply to the read of the machine types.
    pub(super) fn handle_stored_machine_types(&mut self, reply: StoreReply) {
        let retry_at = self.now + self.cfg.heartbeat_interval_ms / 4;
        let refresh_at = self.now + self.refresh_interval_ms();
        self.machine_types.apply_read_reply(reply, self.leader.is_some(), retry_at, refresh_at);
    }

    /// Handles the cloud's reply to the request for machine types.
    pub(super) fn handle_cloud_machine_types(&mut self, reply: CloudReply) {
        let retry_at = self.now + self.cfg.worker_lease_ms / 8;
        let refresh_at = self.now + self.refresh_interval_ms();
        self.machine_types.apply_cloud_reply(reply, retry_at, refresh_at);
    }
}
