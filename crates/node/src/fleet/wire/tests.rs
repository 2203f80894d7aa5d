//! Hosts of different versions in one fleet.

use super::*;

/// The response to a ping before it named the number of hosts.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum FormerToHost {
    #[serde(rename = "p")]
    Pong(u64, u64, Duration),
}

fn recode<T, U>(message: &T) -> U
where
    T: Serialize,
    U: DeserializeOwned,
{
    ciborium::from_reader(&Frame::new(message).unwrap().0[..]).unwrap()
}

#[test]
fn pongs_are_read_by_and_from_hosts_that_count_no_hosts() {
    let staleness = Duration::from_millis(20);
    let former = FormerToHost::Pong(1, 2, staleness);
    assert_eq!(recode::<_, ToHost>(&former), ToHost::Pong(1, 2, staleness, 0));
    assert_eq!(recode::<_, FormerToHost>(&ToHost::Pong(1, 2, staleness, 380)), former);
}
