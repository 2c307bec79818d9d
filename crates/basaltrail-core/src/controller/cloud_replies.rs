//! Dispatches replies of the cloud to the part of the controller that made the call.

use super::Controller;
use crate::io::CloudReply;
use crate::model::CallId;
use crate::store::calls::CloudPurpose;

impl Controller {
    /// Handles the reply to a cloud call, or its timeout.
    pub(super) fn handle_cloud_reply(&mut self, call_id: CallId, reply: CloudReply) {
        let Some(purpose) = self.calls.finish_cloud_call(call_id) else { return };
        match purpose {
            CloudPurpose::MachineTypes => self.handle_cloud_machine_types(reply),
            CloudPurpose::Provision { token, request_name } => {
                self.with_leader_of_term(token, |leader, ctx, calls| {
                    leader.apply_provisioning_reply(ctx, calls, &request_name, reply);
                });
            }
            CloudPurpose::Terminate { token, machines } => {
                self.with_leader_of_term(token, |leader, ctx, calls| {
                    leader.apply_termination_reply(ctx, calls, machines, reply);
                });
            }
            CloudPurpose::List { token } => {
                self.with_leader_of_term(token, |leader, ctx, calls| {
                    leader.apply_inventory_page(ctx, calls, reply);
                });
            }
        }
    }
}
