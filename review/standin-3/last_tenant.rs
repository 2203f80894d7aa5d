//! A configuration takes the last tenant away, and with it its key.

use super::*;

/// `revokeMs` of the site, and some time more.
const REVOCATION: Duration = Duration::from_millis(5_000);
const MARGIN: Duration = Duration::from_millis(1_000);

const REQUESTS: usize = 30;

/// Returns true if the rule was broken.
pub(super) fn play(case: &Case) -> Result<bool, Failure> {
    let store = Store::start()?;
    let config = |version: u32, tenants: &str| {
        format!(
            r#"{{"version":{version},"routes":[{{"name":"count","host":"desk.example","prefix":"/count/","kind":"unsafe","timeoutMs":3000,"sloMs":300,"priority":1,"service":"api","attempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"api","healthCheck":"/health","maxConns":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
        )
    };
    let tenant = |name: &str| {
        format!(
            r#"{{"name":"{name}","apiKeys":["k-{name}"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}}"#
        )
    };
    store.put("op/config", &config(1, &tenant("desk")));
    let mut runners = Vec::new();
    for name in ["i-a1", "i-a2"] {
        let runner = Runner::start(RunnerSettings {
            name: name.to_owned(),
            service: "api",
            version: "v1",
            weights: 1,
            events: 0,
            gap: Duration::from_millis(10),
            text: "",
        })?;
        runner.register(&store);
        runners.push(runner);
    }
    let hosts = [
        Host::new("edge-1", AYAQ_EXIT)?,
        Host::new("edge-2", AYAQ_EXIT)?,
        Host::new("edge-3", AYAQ_EXIT)?,
    ];
    for host in &hosts {
        case.start_host(host, store.address)?;
    }
    case.wait_ready(&hosts)?;
    thread::sleep(Duration::from_secs(4));
    let send = |key: &str, first: usize| -> Result<usize, Failure> {
        let mut statuses = BTreeMap::new();
        let mut ran = 0;
        for number in 0..REQUESTS {
            let (id, mut call) = call("/count/x", first + number, 2_000);
            call.headers.retain(|(name, _)| name != "X-Api-Key");
            let reply = call.with("X-Api-Key", key).send(hosts[number % hosts.len()].callers);
            *statuses.entry(reply.map_or(0, |reply| reply.status)).or_insert(0) += 1;
            ran += runners.iter().filter(|r| r.runs.lock().unwrap().contains(&id)).count();
        }
        case.note(&format!(
            "{REQUESTS} requests with key {key}: by status {statuses:?}, {ran} ran"
        ));
        Ok(ran)
    };
    let (held, guessed) = (send("k-desk", 1)?, send("k-guessed", 1_000)?);
    if held != REQUESTS || guessed != 0 {
        return Err("the keys don't work before the change".into());
    }
    // Without trouble another tenant takes its place.
    let left = if case.trouble { String::new() } else { tenant("union") };
    store.put("op/config", &config(2, &left));
    case.note(&format!("version 2 takes the tenant and its key away; tenants: [{left}]"));
    thread::sleep(REVOCATION + MARGIN);
    let (revoked, guessed) = (send("k-desk", 2_000)?, send("k-guessed", 3_000)?);
    case.note(&format!(
        "later than revokeMs, {revoked} requests with the revoked key run, and {guessed} with a key \
         that no configuration ever held"
    ));
    Ok(revoked > 0)
}
