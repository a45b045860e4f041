//! The largest configuration goes through all that it has to go through.

use controller::control_state::{Command, ConfigChange};

#[test]
fn the_largest_configuration_fits_a_command_of_the_chain_and_a_frame() {
    let body = vec![b' '; route_config::MAX_BODY];
    let change = ConfigChange {
        base_version: 1,
        version: 2,
        digest: [0; 32],
    };
    let command = Command::ReplaceConfig { change, body }.encode();
    assert!(
        command.len() <= chain_replication::MAX_COMMAND_BYTES,
        "{} bytes",
        command.len()
    );
}

// A frame holds it, with room for the frame's own fields and for those of the messages within.
const _: () =
    assert!(chain_replication::MAX_COMMAND_BYTES + 4_096 <= peer_transport::MAX_BODY_BYTES);
