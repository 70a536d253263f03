//! The declaration of every section and key.
//!
//! Doc comments here are the text of the settings page. Defaults and bounds are written as
//! in a file, so that the page shows them as operators write them.

use std::path::PathBuf;
use std::time::Duration;

use filberthead_types::{FailureDomain, NodeName, Region, ServiceName};
use log::LevelFilter;

use crate::key::{Absent, AnyKey, Key, Range, Roles, SectionSpec};
use crate::value::{
    ByteSize, ClusterName, DomainList, HttpUrl, ListenAddr, Percent, Role, TargetAddr, TargetList,
    Value,
};
use crate::{ContentionControl, LogFormat, LogStream, ReviewPolicy};

macro_rules! sections {
    ($(
        $(#[doc = $section_doc:literal])*
        [$section:literal $($label:literal)?] $roles:ident {
            $(
                $(#[doc = $doc:literal])*
                $id:ident: $ty:ty = $name:literal, $absent:expr $(, $min:literal..=$max:literal)?;
            )*
        }
    )*) => {
        $($(
            pub(crate) static $id: Key<$ty> = Key {
                section: $section,
                name: $name,
                absent: $absent,
                range: &[$(Range { min: $min, max: $max })?],
                doc: &[$($doc),*],
                read: <$ty as Value>::read,
            };
        )*)*

        /// Every section, in the order of the settings page.
        pub(crate) static SECTIONS: &[SectionSpec] = &[$(
            SectionSpec {
                name: $section,
                label: [$(Some($label),)? None][0],
                roles: Roles::$roles,
                doc: &[$($section_doc),*],
                keys: &[$(&$id as &dyn AnyKey),*],
            },
        )*];
    };
}

const REQUIRED: Absent = Absent::Error(Roles::All);
const UNSET: Absent = Absent::Unset(Roles::All);

const fn default(text: &'static str) -> Absent {
    Absent::Default(text)
}

sections! {
    /// What the process is and where it runs.
    ["node"] All {
        /// The program that the file is for.
        ROLE: Role = "role", REQUIRED;
        /// Name of the cluster, the same in every file. Messages of a cluster of another
        /// name are rejected.
        CLUSTER: ClusterName = "cluster", REQUIRED;
        /// Name of this process, unlike that of any other process or endpoint.
        NAME: NodeName = "name", REQUIRED;
        /// Region of the VM.
        REGION: Region = "region", REQUIRED;
        /// Failure domain of the VM: what one fault can cut off or stop as a whole.
        FAILURE_DOMAIN: FailureDomain = "failure_domain", REQUIRED;
    }
    /// What the VM gives the process. It bounds what clients can make the process hold; see
    /// [Clients that hold on](operators/clients-that-hold-on.md).
    ["vm"] All {
        /// Memory that the process may use. A twelfth of it is for unfinished requests on
        /// each port, and each 160 KiB allow one connection of a client.
        VM_MEMORY: ByteSize = "memory", default("256MiB"), "8MiB"..="1024GiB";
        /// File descriptors that it may have open, if they are fewer than the operating
        /// system allows. Three eighths are for callers, an eighth for each other port
        /// with requests, a quarter for other processes.
        VM_DESCRIPTORS: u32 = "descriptors", UNSET, "16"..="1000000000";
    }
    /// Where callers are served, and how.
    ["callers"] EntryAndGateway {
        /// Address for look-ups and requests.
        CALLERS_LISTEN: ListenAddr = "listen", REQUIRED;
        /// Address advertised to callers and other entries, if it differs from `listen`.
        CALLERS_ADVERTISE: TargetAddr = "advertise", UNSET;
        /// How long callers may cache the answer to a look-up. A leaving entry continues to
        /// serve for as long.
        LOOKUP_TTL: Duration = "lookup_ttl", default("10s"), "1s"..="5m";
        /// Time limit of a request without one of its own.
        REQUEST_TIMEOUT: Duration = "request_timeout", default("10s"), "100ms"..="1h";
    }
    /// Messages of the system's other processes.
    ["peers"] All {
        /// Address on which they are received.
        PEERS_LISTEN: ListenAddr = "listen", REQUIRED;
        /// Address advertised to other processes, if it differs from `listen`.
        PEERS_ADVERTISE: TargetAddr = "advertise", UNSET;
        /// Peer addresses of other entries, one or more per failure domain, that are queried
        /// at start for the newest version of the table.
        SEEDS: TargetList = "seeds", Absent::Unset(Roles::Entry);
    }
    /// Metrics and status of an entry or gateway.
    ["status"] EntryAndGateway {
        /// Address of `/metrics` and `/status`.
        STATUS_LISTEN: ListenAddr = "listen", REQUIRED;
    }
    /// Where operators reach a control replica.
    ["operators"] Control {
        /// Address of the administration API, `/metrics` and `/status`.
        OPERATORS_LISTEN: ListenAddr = "listen", REQUIRED;
        /// Address advertised to operators, if it differs from `listen`.
        OPERATORS_ADVERTISE: TargetAddr = "advertise", UNSET;
        /// File of hashed bearer tokens. Without it the administration API serves only
        /// the loopback.
        TOKENS: PathBuf = "tokens", UNSET;
        /// Whether every change of the table needs a colleague's review. With `optional`,
        /// operators of the role `accept` may change rows directly, or waive a missing
        /// review explicitly.
        REVIEW: ReviewPolicy = "review", default("optional");
    }
    /// Files that survive a restart.
    ["storage"] EntryAndControl {
        /// Folder that no other process uses. It contains a control replica's identity:
        /// with an empty folder it is a new replica. An entry without a folder keeps
        /// its idempotency records in memory and on a second entry only.
        DATA: PathBuf = "data", Absent::Error(Roles::Control);
    }
    /// A control replica. An entry's file lists all of them, a control replica's file
    /// lists the others.
    ["replica" "NAME"] EntryAndControl {
        /// Its address for messages of other processes.
        REPLICA_PEER: TargetAddr = "peer", REQUIRED;
    }
    /// An endpoint of the entry's own failure domain.
    ["endpoint" "NAME"] Entry {
        /// Service that it runs.
        ENDPOINT_SERVICE: ServiceName = "service", REQUIRED;
        /// Where it listens.
        ENDPOINT_ADDRESS: TargetAddr = "address", REQUIRED;
        /// Requests that it runs at the same time.
        ENDPOINT_SLOTS: u32 = "slots", default("3"), "1"..="1000";
        /// Connections that it accepts.
        ENDPOINT_CONNECTIONS: u32 = "connections", default("330"), "1"..="65535";
    }
    /// The platform that runs the VMs.
    ["platform"] EntryAndControl {
        /// URL of its list of live and leaving VMs. Without it only the sections
        /// `[endpoint NAME]` are used.
        PLATFORM_URL: HttpUrl = "url", Absent::Unset(Roles::Entry);
        /// Address of its list of endpoints, which the leading control replica polls.
        PLATFORM_LIST: TargetAddr = "list", Absent::Unset(Roles::Control);
        /// Calls per second that the list accepts from all processes together.
        PLATFORM_RATE: f64 = "rate", default("10"), "0.001"..="1000000000";
        /// The failure domains. A list of several pages is read by failure domain, all in
        /// parallel, because each page only contains the token of the next one.
        PLATFORM_DOMAINS: DomainList = "domains", UNSET;
        /// Time after which an endpoint listed as draining must get no new requests. The list
        /// is polled several times within it.
        PLATFORM_DRAIN: Duration = "drain", default("3s"), "0s"..="1d";
    }
    /// Discovery of the processes of a group from a few seed addresses.
    ["group"] ControlAndGateway {
        /// Addresses of some control VMs. A control replica with seeds also manages the
        /// group's membership automatically: it adds replicas that announce themselves and
        /// removes replicas that have been replaced.
        SEEDS_OF_GROUP: TargetList = "seeds", Absent::Error(Roles::Gateway);
        /// Port on which those VMs receive messages of other processes, if it isn't the
        /// port of the seeds.
        SEED_PORT: u32 = "port", UNSET, "1"..="65535";
        /// Whether this is the first start of the whole system. Then the first seed creates
        /// the group; a replica that later finds its disk empty must never do so.
        FIRST_START: bool = "first_start", default("false");
        /// Number of replicas that may fail at the same time. Orders are accepted only once
        /// the group has enough voters for that, or seven voters, the maximum.
        TOLERATE: u32 = "tolerate", default("1"), "0"..="1000";
    }
    /// The interface for operators' routes and evacuations.
    ["orders"] Control {
        /// Address of the interface.
        ORDERS_LISTEN: ListenAddr = "listen", UNSET;
    }
    /// The interface where callers look up which gateways to use.
    ["lookups"] Control {
        /// Address of the interface.
        LOOKUPS_LISTEN: ListenAddr = "listen", UNSET;
        /// How long callers may cache an answer. Some keep it longer, so a gateway that
        /// leaves continues to serve for a multiple of it.
        LOOKUPS_TTL: Duration = "ttl", default("1s"), "100ms"..="1m";
    }
    /// Requests that other gateways relay through a gateway while they have no contact with
    /// endpoints.
    ["relay"] Gateway {
        /// Address on which they are received. Unset, that of `[peers]` with the next port.
        RELAY_LISTEN: ListenAddr = "listen", UNSET;
        /// Address advertised to other gateways, if it differs from `listen`.
        RELAY_ADVERTISE: TargetAddr = "advertise", UNSET;
    }
    /// The platform's readiness probe of a gateway.
    ["readiness"] Gateway {
        /// Address of the interface.
        READINESS_LISTEN: ListenAddr = "listen", REQUIRED;
    }
    /// Region of a failure domain.
    ["failure_domain" "NAME"] Gateway {
        /// The region.
        DOMAIN_REGION: Region = "region", REQUIRED;
    }
    /// Bounds that apply to all gateways together.
    ["budgets"] Gateway {
        /// Retries as a fraction of first attempts.
        RETRY_RATIO: f64 = "retry_ratio", default("0.2"), "0"..="100";
        /// Retries allowed in each window in addition, over all gateways; a fraction adds
        /// up over several windows.
        RETRY_FLOOR: f64 = "retry_floor", default("10"), "0"..="1000000000";
        /// Length of that window.
        RETRY_WINDOW: Duration = "retry_window", default("10s"), "100ms"..="1h";
        /// Fraction of a region's requests that may move to another region from one window
        /// of two seconds to the next.
        MAX_SHIFT: f64 = "max_shift", default("0.15"), "0"..="1";
        /// Requests beyond the allotment of a workspace that gateways without contact to
        /// control may send, over all gateways, when they lose contact.
        ALLOTMENT_SLACK: f64 = "allotment_slack", default("0"), "0"..="1000000000";
    }
    /// The network link of a gateway's VM.
    ["link"] Gateway {
        /// Its rate in Mbit/s. Large responses are sent in chunks, so that short messages
        /// can go first. Without it, or with 0, they are sent as fast as they arrive.
        LINK_RATE: f64 = "rate", UNSET, "0"..="1000000000";
    }
    /// How a gateway treats load beyond what endpoints can serve in time.
    ["contention"] Gateway {
        /// Whether requests wait at the gateway by urgency, are shared out between workspaces
        /// and placed by expected work: `auto` from when a caller of any gateway has sent a
        /// request before its previous one was answered, `always` or `never`.
        CONTENTION_CONTROL: ContentionControl = "control", default("auto");
        /// Whether control then divides a service that is short of capacity among workspaces. It
        /// reckons with the service as a whole: where only one region is short, workspaces are
        /// refused in the others too.
        CONTENTION_SHARES: bool = "shares", default("false");
    }
    /// The planned stop of a gateway.
    ["stop"] Gateway {
        /// Time from the signal until the process must have exited.
        STOP_GRACE: Duration = "grace", default("6s"), "0s"..="1d";
    }
    /// Limits of an entry.
    ["limits"] Entry {
        /// Maximum number of requests that wait for a slot, over all services; further
        /// ones are refused.
        QUEUE: usize = "queue", default("64"), "0"..="65536";
        /// How long a planned stop waits for running requests, downloads included. Longer
        /// than `lookup_ttl`, because the last cached answer must expire first.
        STOP_DEADLINE: Duration = "stop_deadline", default("10m"), "1s"..="12h";
    }
    /// Records that let a request with an idempotency key run at most once.
    ["ledger"] Entry {
        /// Maximum number of stored keys. Once it is reached, requests with new keys are
        /// refused.
        LEDGER_KEYS: usize = "keys", default("100000"), "100"..="10000000";
        /// Minimum time that a key is kept after its request could last start. A resend
        /// after that never runs, and its only answer is "may have run".
        LEDGER_RETENTION: Duration = "retention", default("24h"), "1m"..="30d";
    }
    /// Times of the replicated log. The same in each control replica's file.
    ["consensus"] Control {
        /// Time between a leader's heartbeats.
        HEARTBEAT: Duration = "heartbeat", default("200ms"), "10ms"..="10s";
        /// Minimum time without a leader's heartbeat before an election.
        ELECTION_TIMEOUT: Duration = "election_timeout", default("800ms"), "50ms"..="1m";
        /// How long a leader may answer reads of the table after a majority has confirmed
        /// it. Shorter than `election_timeout`, so that no other leader can be elected in
        /// that time.
        LEASE: Duration = "lease", default("700ms"), "20ms"..="1m";
    }
    /// Service-level objective of a service; the burn report compares samples with it.
    ["objective" "SERVICE"] Control {
        /// A response that takes longer counts as slow.
        LATENCY_THRESHOLD: Duration = "latency_threshold", default("250ms"), "1ms"..="10m";
        /// Target share of responses that aren't slow.
        LATENCY_TARGET: Percent = "latency_target", default("99%"), "50%"..="99.999%";
        /// Share of slots that must be free.
        HEADROOM_MIN: Percent = "headroom_min", default("20%"), "0%"..="100%";
        /// Target share of minutes with at least so many free slots.
        HEADROOM_TARGET: Percent = "headroom_target", default("99%"), "50%"..="99.999%";
        /// A drain that takes longer counts as late.
        DRAIN_DEADLINE: Duration = "drain_deadline", default("10m"), "1s"..="12h";
        /// Target share of drains that aren't late.
        DRAIN_TARGET: Percent = "drain_target", default("95%"), "50%"..="99.999%";
        /// Target share of requests that are neither refused nor lost.
        SERVED_TARGET: Percent = "served_target", default("99.9%"), "50%"..="99.999%";
    }
    /// Samples that the burn report is made from.
    ["samples"] Control {
        /// Time covered by one sample.
        SAMPLE_PERIOD: Duration = "period", default("1m"), "1s"..="5m";
        /// Maximum disk space of samples; the oldest are deleted first.
        SAMPLE_SIZE: ByteSize = "size", default("64MiB"), "64KiB"..="4GiB";
    }
    /// Log lines.
    ["log"] All {
        /// Least severe level that is logged.
        LOG_LEVEL: LevelFilter = "level", default("info");
        /// Plain text, or one JSON object per line.
        LOG_FORMAT: LogFormat = "format", default("plain");
        /// Where lines are written.
        LOG_STREAM: LogStream = "stream", default("stderr");
    }
}
