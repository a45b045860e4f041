//! What the control plane tells takes effect here.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::controller::Controller;
use common::*;
use relay_tree::Stamp;
use route_config::Config;
use runner_registry::{Registry, RegistryConfig, RunnerState};
use tier_settings::Settings;

/// Looks again whenever anything may have happened on this thread.
async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        tokio::task::yield_now().await;
    }
}

/// Comes back once the process has all that the controller has told so far.
async fn in_step(controller: &Controller, number: u64) {
    controller.set("step", Stamp(number, 0), None);
    until(|| controller.confirmed("step", Stamp(number, 0)) == 1).await;
}

async fn with(controller: &Controller) -> Rig {
    let rig = Rig::bare(SETTINGS).await;
    // The controller's port is not the one that the settings' range gives, so its address is put in by hand.
    rig.process
        .gateway
        .control
        .set_controllers(vec![controller.addr]);
    gateway::control::follow(&rig.process.gateway, 1);
    rig
}

#[test]
fn a_configuration_is_in_force_once_both_words_have_come_and_never_goes_back() {
    run(async {
        let controller = Controller::new().await;
        controller.configuration(3, &CONFIG.replace("\"Gen\":1", "\"Gen\":3"));
        let rig = with(&controller).await;
        let gateway = rig.process.gateway.clone();
        until(|| controller.confirmed("config/next", Stamp(3, 0)) == 1).await;
        assert!(gateway.config().is_none(), "prepared only");
        assert!(!gateway.is_ready());
        controller.activate(3);
        until(|| gateway.config().is_some_and(|c| c.version == 3)).await;
        controller.configuration(5, &CONFIG.replace("\"Gen\":1", "\"Gen\":5"));
        until(|| controller.confirmed("config/next", Stamp(5, 0)) == 1).await;
        assert_eq!(gateway.config().unwrap().version, 3);
        controller.activate(5);
        until(|| gateway.config().is_some_and(|c| c.version == 5)).await;
        let older = Config::read(CONFIG.as_bytes()).unwrap();
        assert_eq!(older.version, 1);
        controller.activate(1);
        controller.configuration(1, CONFIG);
        in_step(&controller, 1).await;
        assert_eq!(gateway.config().unwrap().version, 5);
        assert!(controller.hellos.get() >= 1);
    });
}

#[test]
fn nothing_comes_into_force_from_a_parent_out_of_touch() {
    run(async {
        let controller = Controller::new().await;
        controller.age.set(60_000);
        controller.configuration(3, &CONFIG.replace("\"Gen\":1", "\"Gen\":3"));
        controller.activate(3);
        let rig = with(&controller).await;
        let gateway = rig.process.gateway.clone();
        in_step(&controller, 1).await;
        assert!(gateway.config().is_none() && !gateway.is_ready());
        controller.age.set(0);
        until(|| gateway.config().is_some_and(|c| c.version == 3)).await;
    });
}

#[test]
fn runners_are_known_from_their_state_entries_and_a_process_is_ready_with_them() {
    run(async {
        let controller = Controller::new().await;
        controller.configuration(1, CONFIG);
        controller.activate(1);
        let runner = StandIn::new("i-1", |_, _| vec![done("ok")]).await;
        let heartbeat = |state: &str, seqno: u64| {
            format!(
                r#"{{"Svc":"s","Address":"{}","Zone":"a","Gen":"v1","Slots":8,"State":"{state}","ColdLeftMs":0,"Seqno":{seqno}}}"#,
                runner.addr
            )
        };
        let mut registry = Registry::new(RegistryConfig {
            heartbeat_ms: 1_000,
            owner: 11,
        });
        let up = registry
            .heartbeat(1, "i-1", heartbeat("up", 1).as_bytes())
            .unwrap()
            .publish
            .unwrap();
        let rig = with(&controller).await;
        let gateway = rig.process.gateway.clone();
        until(|| gateway.config().is_some()).await;
        controller.set(&up.key, up.stamp, up.value);
        until(|| gateway.is_ready()).await;
        assert!(rig
            .ask(&request("/plain/", "a", "", "x"))
            .await
            .ends_with("ok"));
        let draining = registry
            .heartbeat(2, "i-1", heartbeat("draining", 2).as_bytes())
            .unwrap()
            .publish
            .unwrap();
        let stamp = draining.stamp;
        controller.set(&draining.key, draining.stamp, draining.value);
        until(|| controller.confirmed("runner/i-1", stamp) == 1).await;
        let said = rig
            .ask(&request(
                "/plain/",
                "b",
                "Fordrelay-Deadline-Ms: 300\r\n",
                "x",
            ))
            .await;
        assert!(said.starts_with("HTTP/1.1 503 "), "{said}");
        assert_eq!(runner.count(), 1);
        assert_eq!(runner.runner("s", RunnerState::Up).id, "i-1");
    });
}

#[test]
fn settings_that_are_read_again_change_peers_and_bounds_only() {
    run(async {
        let rig = Rig::bare(SETTINGS).await;
        let gateway = rig.process.gateway.clone();
        let text = SETTINGS
            .replace("Peers = []", "Peers = [\"127.0.0.1:8146\"]")
            .replace("GraceS = 8", "GraceS = 5")
            .replace("Zone = \"a\"", "Zone = \"b\"");
        rig.process.reload(Settings::parse(&text));
        let settings = gateway.settings.borrow().clone();
        assert_eq!(
            (
                settings.peers.len(),
                settings.bounds.grace_ms,
                settings.zone.as_str()
            ),
            (1, 5_000, "a")
        );
        rig.process.reload(Settings::parse("no settings"));
        assert_eq!(gateway.settings.borrow().bounds.grace_ms, 5_000);
        // One that is another machine's, or not whole, is as good as none.
        let node = settings.node.as_str();
        for spoilt in [
            text.replace(node, "another"),
            text.replace("Peers = [\"127.0.0.1:8146\"]", "Peers = []"),
            text.replace("GraceS = 5", ""),
            text.trim_end().to_owned(),
        ] {
            assert_ne!(spoilt, text);
            rig.process.reload(Settings::parse(&spoilt));
            assert_eq!(**gateway.settings.borrow(), *settings);
        }
    });
}
