//! Quotas over the whole fleet while hosts change their coordinators.
//!
//! One workspace sends more than its quota to every host all the time. Whatever
//! faults occur, the units admitted in any window must stay within what the
//! operators allow.

use proptest::{prelude::*, test_runner::RngSeed};

use self::fleet::{Fleet, HOSTS, WINDOW_MS, allowed};

mod fleet;

/// The coordinator is isolated, and the other hosts choose another one. The
/// workspace is idle until just before the isolation ends. Then the hosts return
/// to the first coordinator, which has granted the workspace nothing meanwhile.
#[test]
fn reconnected_coordinator_does_not_grant_units_granted_by_its_successor() {
    let mut fleet = Fleet::new();
    fleet.run_until(10_000);
    fleet.nodes[0].isolated = true;
    fleet.idle_until_ms = 20_000;
    fleet.run_until(21_000);
    fleet.nodes[0].isolated = false;
    fleet.run_until(30_000);
    assert!(fleet.max_window_units() <= allowed(), "{} of {}", fleet.max_window_units(), allowed());
}

/// The process of the coordinator is paused. The workspace is idle until just
/// before the process resumes.
#[test]
fn resumed_coordinator_does_not_use_the_shares_of_its_former_clients() {
    let mut fleet = Fleet::new();
    fleet.run_until(10_000);
    fleet.nodes[0].paused_until_ms = 21_000;
    fleet.idle_until_ms = 20_000;
    fleet.run_until(30_000);
    assert!(fleet.max_window_units() <= allowed(), "{} of {}", fleet.max_window_units(), allowed());
}

/// A host that does not reach the store has lost its entry, but not its coordinator.
/// That coordinator stops as planned, and its clients elect the next one. The host has
/// run longer than that one and elects nobody.
#[test]
fn a_host_without_store_entry_adds_no_share_of_the_quotas() {
    let mut fleet = Fleet::new();
    fleet.run_until(10_000);
    fleet.nodes[1].cut_from_store = true;
    fleet.idle_until_ms = 17_900;
    fleet.run_until(18_000);
    fleet.begin_stop(0);
    fleet.run_until(30_000);
    assert!(fleet.max_window_units() <= allowed(), "{} of {}", fleet.max_window_units(), allowed());
}

/// Two hosts stop as planned while two others are isolated and use their own shares.
#[test]
fn stopping_hosts_add_no_share_of_the_quotas() {
    let mut fleet = Fleet::new();
    fleet.run_until(10_000);
    fleet.idle_until_ms = 17_900;
    fleet.run_until(18_000);
    fleet.nodes[4].isolated = true;
    fleet.nodes[5].isolated = true;
    fleet.begin_stop(6);
    fleet.begin_stop(7);
    fleet.run_until(30_000);
    assert!(fleet.max_window_units() <= allowed(), "{} of {}", fleet.max_window_units(), allowed());
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    CutFromStore(usize, u64),
    Isolate(usize, u64),
    Pause(usize, u64),
    Restart(usize),
    Stop(usize),
    Idle(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    // The first hosts become coordinators.
    let victim = prop_oneof![3 => 0..2_usize, 1 => 0..HOSTS];
    prop_oneof![
        (victim.clone(), 300..9_000_u64).prop_map(|(host, ms)| Fault::Isolate(host, ms)),
        (victim.clone(), 300..9_000_u64).prop_map(|(host, ms)| Fault::Pause(host, ms)),
        (victim.clone(), 300..20_000_u64).prop_map(|(host, ms)| Fault::CutFromStore(host, ms)),
        victim.clone().prop_map(Fault::Stop),
        victim.prop_map(Fault::Restart),
        (500..6_000_u64).prop_map(Fault::Idle),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..ProptestConfig::default()
    })]

    /// Overlapping isolations, cuts from the store, pauses, stops, restarts and idle times.
    #[test]
    fn no_sequence_of_faults_exceeds_the_allowance(
        faults in prop::collection::vec((fault(), 200..5_000_u64), 1..9),
    ) {
        let mut fleet = Fleet::new();
        fleet.run_until(9_000);
        let (mut isolations, mut cuts) = (Vec::new(), Vec::new());
        for (fault, gap_ms) in faults {
            match fault {
                Fault::Isolate(host, ms) => {
                    fleet.nodes[host].isolated = true;
                    isolations.push((host, fleet.now_ms + ms));
                }
                Fault::CutFromStore(host, ms) => {
                    fleet.nodes[host].cut_from_store = true;
                    cuts.push((host, fleet.now_ms + ms));
                }
                Fault::Pause(host, ms) => fleet.nodes[host].paused_until_ms = fleet.now_ms + ms,
                Fault::Restart(host) => fleet.restart(host),
                Fault::Stop(host) => fleet.begin_stop(host),
                Fault::Idle(ms) => fleet.idle_until_ms = fleet.now_ms + ms,
            }
            let until = fleet.now_ms + gap_ms;
            while fleet.now_ms < until {
                for (host, _) in isolations.iter().filter(|(_, end)| *end <= fleet.now_ms) {
                    fleet.nodes[*host].isolated = false;
                }
                isolations.retain(|(_, end)| *end > fleet.now_ms);
                for (host, _) in cuts.iter().filter(|(_, end)| *end <= fleet.now_ms) {
                    fleet.nodes[*host].cut_from_store = false;
                }
                cuts.retain(|(_, end)| *end > fleet.now_ms);
                fleet.step();
            }
        }
        fleet.run_until(fleet.now_ms + WINDOW_MS);
        prop_assert!(fleet.max_window_units() <= allowed(), "{} of {}", fleet.max_window_units(), allowed());
    }
}
