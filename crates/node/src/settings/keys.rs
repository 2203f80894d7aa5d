//! The table of all keys.

/// Section of the static list of peers. Its keys are names of hosts.
pub const PEERS_SECTION: &str = "peers";

/// One key of the settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeySpec {
    /// Section that the key stands in.
    pub section: &'static str,
    /// Name of the key.
    pub key: &'static str,
    /// Value of an absent key; none if the key is required.
    pub default: Option<&'static str>,
    /// Unit or form of the value.
    pub unit: &'static str,
    /// What the key does, in one or two lines.
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
const ADDRESS: &str = "IP number and port";
const FILE: &str = "path; empty for none";

/// Every key, in the order of the default file.
pub const KEYS: &[KeySpec] = &[
    spec("host", "name", None, "name", "Name of this host. Unique among all hosts."),
    spec("host", "data-centre", None, "name", "Data centre that this host stands in."),
    spec("host", "workers", Some("2"), COUNT, "Threads that carry callers' traffic."),
    spec(
        "host",
        "processor",
        Some("1"),
        NUMBER,
        "Cores, or part of one, that this host may use. In a fleet, one of the hosts\nwith most coordinates.",
    ),
    spec("listen", "callers", Some("127.0.0.1:8080"), ADDRESS, "Address for callers."),
    spec("listen", "peers", Some("127.0.0.1:8081"), ADDRESS, "Address for other daemons."),
    spec("listen", "operators", Some("127.0.0.1:8082"), ADDRESS, "Address for operators."),
    spec(
        "security",
        "secret-file",
        Some(""),
        FILE,
        "File with the secret of the peers' and operators' ports. Required if one of\nthese ports or a peer has an address other than loopback.",
    ),
    spec(
        "platform",
        "kind",
        Some("embedded"),
        "embedded or store",
        "Where everything is kept that hosts share: in this process, for a first\ntrial, or in the platform's store.",
    ),
    spec(
        "platform",
        "store",
        Some(""),
        "IP number and port; empty for none",
        "Address of the store. Required with store.",
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
        "Configuration (INI) to start with. Used with embedded only.",
    ),
    spec("limits", "body-bytes", Some("4MiB"), SIZE, "Largest accepted request body."),
    spec("limits", "header-bytes", Some("32KiB"), SIZE, "Largest sum of a request's headers."),
    spec("limits", "body-time", Some("10s"), DURATION, "Time for a caller to send a body."),
    spec("limits", "connect-timeout", Some("500ms"), DURATION, "Time to connect to a runner."),
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
        "Time without a byte from an upstream after which it counts as broken.",
    ),
    spec("limits", "connections", Some("10000"), COUNT, "Open callers' connections per worker."),
    spec("limits", "results-bytes", Some("64MiB"), SIZE, "Memory for kept answers."),
    spec(
        "limits",
        "results-time",
        Some("10m"),
        DURATION,
        "Time that an answer with an identity is kept for repeats.",
    ),
    spec(
        "limits",
        "stop-limit",
        Some("none"),
        "duration: ms, s, m or h; none for no limit",
        "Time after which a planned stop cuts the streams that are left.",
    ),
    spec("fleet", "region", Some("region"), "name", "Region that this host stands in."),
    spec(
        "fleet",
        "key-revocation",
        Some("5s"),
        DURATION,
        "Time within which every host refuses a key that was taken away.",
    ),
    spec("fleet", "retry-ratio", Some("0.2"), NUMBER, "Repeats allowed for each request."),
    spec("fleet", "retry-slack", Some("50"), NUMBER, "Repeats allowed in a window besides."),
    spec(
        "fleet",
        "quota-overage",
        Some("0"),
        NUMBER,
        "Part of a workspace's quota that may be used besides it.",
    ),
    spec(
        "fleet",
        "quota-slack",
        Some("0"),
        NUMBER,
        "Units of a quota that may be used besides, so that hosts which lose each\nother need not refuse what lies within it.",
    ),
    spec("fleet", "quota-window", Some("8s"), DURATION, "Window that quotas are judged over."),
    spec("fleet", "retry-window", Some("10s"), DURATION, "Window of the repeats."),
];
