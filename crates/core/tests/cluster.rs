//! Ownership of a pool over several hosts with a key-value service.

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
fn standby_replaces_a_killed_owner_with_all_claims() {
    let mut world = World::new(5);
    world.run_ms(3_000);
    let owner = world.only_owner();
    let standby = world.recorded_standby().unwrap();
    world.kill(owner);
    let before = world.now_ms();
    world.run_until(|w| w.owners().len() == 1);
    assert!(world.now_ms() - before < 3_000, "replaced after {} ms", world.now_ms() - before);
    assert_eq!(world.only_owner(), standby);
    assert_eq!(world.epoch(standby), issued(2));
    let expected = ClaimSource::StandbyCopy { owner: host(owner), epoch: issued(1) };
    assert_eq!(world.claim_source(standby), Some(&expected));
}

#[test]
fn killed_owner_and_standby_leave_the_claims_incomplete() {
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
fn replaced_owner_ends_its_term_when_it_resumes() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.pause(owner);
    world.run_until(|w| w.owners().len() == 2);
    let next = world.owners().into_iter().find(|&ix| ix != owner).unwrap();
    world.resume(owner);
    world.run_until(|w| w.owners() == [next]);
    assert_eq!(world.view(owner), (Some(next), issued(2)));
}

#[rstest]
#[case(LostReply::Applied)]
#[case(LostReply::NotApplied)]
fn write_with_a_lost_reply_is_read_back(#[case] fault: LostReply) {
    let mut world = World::new(3);
    world.lose_write_replies(fault, 1);
    world.run_ms(4_000);
    let owner = world.only_owner();
    let stored = world.stored().unwrap();
    assert_eq!(stored.owner, Some(host(owner)));
    assert_eq!(stored.epoch, world.epoch(owner));
}

#[test]
fn owner_continues_and_can_be_replaced_during_a_service_outage() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.set_service_down(true);
    world.run_ms(20_000);
    assert_eq!(world.only_owner(), owner);
    world.kill(owner);
    let before = world.now_ms();
    world.run_until(|w| w.owners().len() == 1);
    assert!(world.now_ms() - before < 3_000);
    let next = world.only_owner();
    assert_eq!(world.epoch(next), Epoch { issued: 1, provisional: 1 });
    world.set_service_down(false);
    world.run_until(|w| w.epoch(next) == issued(2));
    assert_eq!(world.only_owner(), next);
}

#[test]
fn isolated_host_does_not_take_over_during_a_service_outage() {
    let mut world = World::new(5);
    world.run_ms(3_000);
    let owner = world.only_owner();
    let other = (owner + 1) % 5;
    world.set_service_down(true);
    world.isolate(other);
    world.run_ms(10_000);
    assert_eq!(world.only_owner(), owner);
}

#[test]
fn owner_isolated_from_its_peers_is_replaced_by_the_majority() {
    let mut world = World::new(5);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.isolate(owner);
    world.run_until(|w| w.owners().iter().any(|&ix| ix != owner));
    world.run_until(|w| w.owners().len() == 1);
    assert_ne!(world.only_owner(), owner, "the old owner reads that it was replaced");
}

#[test]
fn stopping_owner_is_replaced_at_once() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    let before = world.now_ms();
    world.input(owner, ClusterInput::Stop);
    world.run_until(|w| w.owners().len() == 1 && w.only_owner() != owner);
    assert!(world.now_ms() - before < 200, "replaced after {} ms", world.now_ms() - before);
}

#[test]
fn new_incarnation_of_a_host_does_not_own_its_former_pool() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.replace(owner);
    world.run_ms(10);
    assert!(
        !world.owners().contains(&owner),
        "the new incarnation does not own the pool of the old one"
    );
    world.run_until(|w| w.owners().len() == 1);
    assert_eq!(world.epoch(world.only_owner()), issued(2));
}

#[test]
fn takeover_completes_when_its_reply_is_lost_in_a_service_outage() {
    let mut world = World::new(3);
    world.run_ms(3_000);
    let owner = world.only_owner();
    world.kill(owner);
    world.lose_write_replies(LostReply::AppliedThenDown, 1);
    world.run_until(|w| w.owners().len() == 1);
    let next = world.only_owner();
    assert_eq!(world.epoch(next), Epoch { issued: 1, provisional: 1 });
    world.set_service_down(false);
    world.run_until(|w| w.epoch(next) == issued(2));
    assert_eq!(world.only_owner(), next);
}
