//! Table of all settings keys.

/// Section of the static list of peers. Its keys are host names.
pub const PEERS_SECTION: &str = "peers";

/// Specification of one settings key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeySpec {
    /// Section of the key.
    pub section: &'static str,
    /// Name of the key.
    pub key: &'static str,
    /// Default value; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Unit or format of the value.
    pub unit: &'static str,
    /// Description of the key, in one or two lines.
    pub help: &'static str,
}

const fn spec(
    section: &'static str,
    key: &'static str,
    default: Option<&'static str>,
    unit: &'static str,
    help: &'static str,
) -> KeySpec {
    KeySpec { section, key, default, unit, help }
}

const DURATION: &str = "duration: ms, s, m or h";
const SIZE: &str = "size: bytes, KiB, MiB or GiB";
const COUNT: &str = "count";
const NUMBER: &str = "number, with or without a fraction";
const ADDRESS: &str = "IP address and port";
const FILE: &str = "path; empty for none";

/// All keys, in the order of the default settings file.
pub const KEYS: &[KeySpec] = &[
    spec("host", "name", None, "name", "Name of this host. Unique among all hosts."),
    spec("host", "data-centre", None, "name", "Data centre of this host."),
    spec("host", "workers", Some("2"), COUNT, "Threads that handle callers' requests."),
    spec(
        "host",
        "processor",
        Some("1"),
        NUMBER,
        "Number of cores that this host may use; may be a fraction. In a fleet, one of\nthe hosts with the most cores coordinates.",
    ),
    spec("listen", "callers", Some("127.0.0.1:8080"), ADDRESS, "Address for callers."),
    spec("listen", "peers", Some("127.0.0.1:8081"), ADDRESS, "Address for other daemons."),
    spec("listen", "operators", Some("127.0.0.1:8082"), ADDRESS, "Address for operators."),
    spec(
        "listen",
        "forward",
        Some(""),
        "IP address and port; empty for none",
        "Address for requests of hosts of a fleet that can't reach runners themselves.",
    ),
    spec(
        "security",
        "secret-file",
        Some(""),
        FILE,
        "File with the shared secret of the peers' and operators' ports. Required if\none of these ports or a peer has an address other than loopback.",
    ),
    spec(
        "platform",
        "kind",
        Some("embedded"),
        "embedded or store",
        "Where state shared by hosts is kept: in this process, for evaluation, or in\nthe platform's store.",
    ),
    spec(
        "platform",
        "store",
        Some(""),
        "IP address and port; empty for none",
        "Address of the store. Required if kind is store.",
    ),
    spec(
        "platform",
        "configuration",
        Some("operators"),
        "operators or own",
        "Who writes the configuration in the store: the platform's operators, with\nroutes, keys and runners, or comfreyway, with classes and pools.",
    ),
    spec(
        "platform",
        "initial-configuration",
        Some(""),
        FILE,
        "Initial configuration (INI). Only allowed if kind is embedded.",
    ),
    spec(
        "limits",
        "memory",
        Some("160MiB"),
        SIZE,
        "Memory of this process. Callers can make it hold at most half: request bodies and,\nin a fleet, buffers of connections and responses that are held back.",
    ),
    spec(
        "limits",
        "descriptors",
        Some("4096"),
        COUNT,
        "Descriptors that this process may open. Callers of a fleet use at most half of\nthem, less 250.",
    ),
    spec("limits", "body-bytes", Some("4MiB"), SIZE, "Largest accepted request body."),
    spec(
        "limits",
        "header-bytes",
        Some("32KiB"),
        SIZE,
        "Largest total size of a request's headers.",
    ),
    spec("limits", "body-time", Some("10s"), DURATION, "Timeout for receiving a request body."),
    spec(
        "limits",
        "connect-timeout",
        Some("500ms"),
        DURATION,
        "Timeout for connecting to a runner.",
    ),
    spec(
        "limits",
        "grant-waiting",
        Some("60s"),
        DURATION,
        "Longest time that a request waits to be dispatched, whatever its target.",
    ),
    spec(
        "limits",
        "upstream-idle",
        Some("5m"),
        DURATION,
        "Time without data from an upstream after which its response counts as broken.",
    ),
    spec("limits", "connections", Some("10000"), COUNT, "Open caller connections per worker."),
    spec("limits", "results-bytes", Some("64MiB"), SIZE, "Memory for recorded responses."),
    spec(
        "limits",
        "results-time",
        Some("10m"),
        DURATION,
        "Time for which the response to a request with an Idempotency-Key is kept.",
    ),
    spec(
        "limits",
        "stop-limit",
        Some("none"),
        "duration: ms, s, m or h; none for no limit",
        "Time after which a planned stop aborts the remaining requests.",
    ),
    spec("fleet", "region", Some("region"), "name", "Region of this host."),
    spec(
        "fleet",
        "key-revocation",
        Some("5s"),
        DURATION,
        "Time within which every host refuses a revoked key.",
    ),
    spec(
        "fleet",
        "host-lease",
        Some("4s"),
        DURATION,
        "Time after which the store's entry of a host that is down expires; longer means \
         fewer calls to the store.",
    ),
    spec("fleet", "retry-ratio", Some("0.2"), NUMBER, "Retries allowed for each request."),
    spec("fleet", "retry-slack", Some("50"), NUMBER, "Additional retries allowed in each window."),
    spec(
        "fleet",
        "quota-overage",
        Some("0"),
        NUMBER,
        "Fraction of a workspace's quota that may be used in addition to it.",
    ),
    spec(
        "fleet",
        "quota-slack",
        Some("0"),
        NUMBER,
        "Quota units that may be used in addition, so that hosts that can't reach each\nother need not refuse requests within the quota.",
    ),
    spec("fleet", "quota-window", Some("8s"), DURATION, "Window over which quotas are measured."),
    spec("fleet", "retry-window", Some("10s"), DURATION, "Window over which retries are counted."),
    spec(
        "fleet",
        "rollout-share",
        Some(""),
        "number, with or without a fraction; empty for none",
        "Fraction of an upstream's requests that a version may get before its rollout has\nshown it as good. Without it, orders to roll out a version are ignored.",
    ),
    spec(
        "fleet",
        "rollout-slack",
        Some("0"),
        NUMBER,
        "Requests that such a version may get in addition.",
    ),
];
