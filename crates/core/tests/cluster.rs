//! Ownership of a pool over several hosts, a key-value service and time.

mod cluster_support;

use comfreyway_core::{
    cluster::{ClaimSource, ClusterInput},
    ids::Epoch,
};
use rstest::rstest;

use cluster_support::{LostReply, World, host};

fn issued(issued: u64) -> Epoch {
    Epoch { issued, provisional: 0 }
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(9)]
fn exactly_one_host_owns_the_pool(#[case] hosts: usize) {
    let mut world = World::new(hosts);
    world.run_ms(3_000);
    let owner = world.only_owner();
    for ix in 0..hosts {
        assert_eq!(world.view(ix), (Some(owner), issued(1)), "host {ix}");
    }
}

#[test]
fn the_standby_follows_a_killed_owner_with_all_claims() {
    let mut world = World::new(5);
    world.run_ms(3_000);
    let owner = world.only_owner();
    let standby = world.recorded_standby().unwrap();
    world.kill(owner);
    let before = world.now_ms();
    world.run_until(|w| w.owners().len() == 1);
    assert!(world.now_ms() - before < 3_000, "followed after {} ms", world.now_ms() - before);
    assert_eq!(world.only_owner(), standby);
    assert_eq!(world.epoch(standby), issued(2));
    let expected = ClaimSource::StandbyCopy { owner: host(owner), epoch: issued(1) };
    assert_eq!(world.claim_source(standby), Some(&expected));
}

#[test]
fn an_owner_that_dies_with_its_standby_leaves_an_incomplete_memory() {
    let mut world = World::new(5);
    world.run_ms(3_000);
    let (owner, standby) = (world.only_owner(), world.recorded_standby().unwrap());
    world.kill(owner);
    world.kill(standby);
    world.run_until(|w| w.owners().len() == 1);
    let next = world.only_owner();
    assert_eq!(world.claim_source(next), Some(&ClaimSource::Incomplete));
}

#[test]
fn a_paused_owner_that_wakes_steps_down() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.pause(owner);
    world.run_until(|w| w.owners().len() == 2);
    let next = world.owners().into_iter().find(|&ix| ix != owner).unwrap();
    world.wake(owner);
    world.run_until(|w| w.owners() == [next]);
    assert_eq!(world.view(owner), (Some(next), issued(2)));
}

#[rstest]
#[case(LostReply::Applied)]
#[case(LostReply::NotApplied)]
fn a_lost_reply_is_read_back(#[case] fault: LostReply) {
    let mut world = World::new(3);
    world.fault_writes(fault, 1);
    world.run_ms(4_000);
    let owner = world.only_owner();
    let stored = world.stored().unwrap();
    assert_eq!(stored.owner, Some(host(owner)));
    assert_eq!(stored.epoch, world.epoch(owner));
}

#[test]
fn an_owner_goes_on_during_an_outage_and_is_followed_in_one() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.service_down(true);
    world.run_ms(20_000);
    assert_eq!(world.only_owner(), owner);
    world.kill(owner);
    let before = world.now_ms();
    world.run_until(|w| w.owners().len() == 1);
    assert!(world.now_ms() - before < 3_000);
    let next = world.only_owner();
    assert_eq!(world.epoch(next), Epoch { issued: 1, provisional: 1 });
    world.service_down(false);
    world.run_until(|w| w.epoch(next) == issued(2));
    assert_eq!(world.only_owner(), next);
}

#[test]
fn an_isolated_host_does_not_follow_in_an_outage() {
    let mut world = World::new(5);
    world.run_ms(3_000);
    let owner = world.only_owner();
    let other = (owner + 1) % 5;
    world.service_down(true);
    world.isolate(other);
    world.run_ms(10_000);
    assert_eq!(world.only_owner(), owner);
}

#[test]
fn an_owner_cut_off_from_its_peers_is_followed_by_the_majority() {
    let mut world = World::new(5);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.isolate(owner);
    world.run_until(|w| w.owners().iter().any(|&ix| ix != owner));
    world.run_until(|w| w.owners().len() == 1);
    assert_ne!(world.only_owner(), owner, "the old owner reads that it was followed");
}

#[test]
fn a_stopping_owner_is_followed_at_once() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    let before = world.now_ms();
    world.input(owner, ClusterInput::Stop);
    world.run_until(|w| w.owners().len() == 1 && w.only_owner() != owner);
    assert!(world.now_ms() - before < 200, "followed after {} ms", world.now_ms() - before);
}

#[test]
fn a_host_replaced_under_its_name_is_another_host() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.replace(owner);
    world.run_ms(10);
    assert!(!world.owners().contains(&owner), "the new run does not own what the old one did");
    world.run_until(|w| w.owners().len() == 1);
    assert_eq!(world.epoch(world.only_owner()), issued(2));
}

#[test]
fn a_takeover_whose_reply_is_lost_as_the_service_goes_down_is_finished() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.kill(owner);
    world.fault_writes(LostReply::AppliedThenDown, 1);
    world.run_until(|w| w.owners().len() == 1);
    let next = world.only_owner();
    assert_eq!(world.epoch(next), Epoch { issued: 1, provisional: 1 });
    world.service_down(false);
    world.run_until(|w| w.epoch(next) == issued(2));
    assert_eq!(world.only_owner(), next);
}
