//! Repeats of a request at another host.

use comfreyway_testkit::daemon::eventually;

use super::fleet::Fleet;

#[actix_rt::test]
async fn a_repeat_at_another_host_gets_the_first_response() {
    let fleet = Fleet::start(3).await;
    let count_caller = |host| fleet.caller(host).with_class("count").with_key("answer-7");
    let first = count_caller(0).call("/survey/count", "7").await;
    assert!(first.is_complete(), "{first:?}");
    for host in [1, 2, 0] {
        let again = count_caller(host).call("/survey/count", "7").await;
        assert_eq!(again.body, first.body, "{again:?}");
    }
    assert_eq!(fleet.service.log().count(), 1);
}

#[actix_rt::test]
async fn the_same_key_with_another_body_is_refused() {
    let fleet = Fleet::start(3).await;
    let count_caller = |host| fleet.caller(host).with_class("count").with_key("answer-8");
    let first = count_caller(0).call("/survey/count", "8").await;
    assert!(first.is_complete(), "{first:?}");
    let other = count_caller(1).call("/survey/count", "9").await;
    assert_eq!((other.outcome.as_str(), other.reason.as_str()), ("not-run", "identity-reused"));
    assert_eq!(fleet.service.log().count(), 1);
}

#[actix_rt::test]
async fn a_repeat_after_its_holder_is_killed_is_unknown_and_runs_nothing() {
    let mut fleet = Fleet::start(3).await;
    fleet.service.gate().close();
    let count_caller =
        |fleet: &Fleet, host| fleet.caller(host).with_class("count").with_key("answer-9");
    let caller = count_caller(&fleet, 0);
    let first = actix_rt::spawn(async move { caller.call("/survey/count", "9").await });
    eventually(|| async { (fleet.service.log().count() == 1).then_some(()) }).await.unwrap();
    fleet.kill(0);
    assert!(!first.await.unwrap().is_complete());
    for host in [1, 2] {
        let again = count_caller(&fleet, host).call("/survey/count", "9").await;
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    fleet.service.gate().open();
    assert_eq!(fleet.service.log().count(), 1);
}
