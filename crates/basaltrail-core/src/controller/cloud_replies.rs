//! Replies of the cloud: each goes to the part of the controller that made the call.

use super::Controller;
use crate::io::CloudReply;
use crate::model::CallId;
use crate::store::calls::CloudPurpose;

impl Controller {
    /// Takes a reply of the cloud, or that a call was given up.
    pub(super) fn cloud_replied(&mut self, call: CallId, reply: CloudReply) {
        let Some(purpose) = self.calls.finish_cloud_call(call) else { return };
        match purpose {
            CloudPurpose::MachineTypes => self.machine_types_told(reply),
            CloudPurpose::Provision { token, requisition } => {
                self.with_leader_of(token, |leader, ctx, calls| {
                    leader.apply_provisioning_reply(ctx, calls, &requisition, reply);
                });
            }
            CloudPurpose::Terminate { token, machines } => {
                self.with_leader_of(token, |leader, ctx, calls| {
                    leader.apply_termination_reply(ctx, calls, machines, reply);
                });
            }
            CloudPurpose::List { token } => {
                self.with_leader_of(token, |leader, ctx, calls| {
                    leader.apply_inventory_page(ctx, calls, reply);
                });
            }
        }
    }
}
