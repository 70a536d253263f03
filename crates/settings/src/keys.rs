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
use crate::{LogFormat, LogStream, ReviewPolicy};

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
    /// Where callers are served, and how.
    ["callers"] EntryAndGateway {
        /// Address for look-ups and requests.
        CALLERS_LISTEN: ListenAddr = "listen", REQUIRED;
        /// Address that callers and other entries are told, if it differs from `listen`.
        CALLERS_ADVERTISE: TargetAddr = "advertise", UNSET;
        /// How long callers may cache the answer to a look-up. A leaving entry goes on
        /// serving for as long.
        LOOKUP_TTL: Duration = "lookup_ttl", default("10s"), "1s"..="5m";
        /// Deadline of a request that names none.
        REQUEST_TIMEOUT: Duration = "request_timeout", default("10s"), "100ms"..="1h";
    }
    /// Where the system's other processes are heard.
    ["peers"] All {
        /// Address for messages of other processes.
        PEERS_LISTEN: ListenAddr = "listen", REQUIRED;
        /// Address that other processes are told, if it differs from `listen`.
        PEERS_ADVERTISE: TargetAddr = "advertise", UNSET;
        /// Peer addresses of other entries, one or more a failure domain, that are asked
        /// at start for the newest version of the table.
        SEEDS: TargetList = "seeds", Absent::Unset(Roles::Entry);
    }
    /// Where an entry or gateway shows its state.
    ["status"] EntryAndGateway {
        /// Address of `/metrics` and `/status`.
        STATUS_LISTEN: ListenAddr = "listen", REQUIRED;
    }
    /// Where operators reach a control replica.
    ["operators"] Control {
        /// Address of the administration API, `/metrics` and `/status`.
        OPERATORS_LISTEN: ListenAddr = "listen", REQUIRED;
        /// Address that operators are told, if it differs from `listen`.
        OPERATORS_ADVERTISE: TargetAddr = "advertise", UNSET;
        /// File of hashed bearer tokens. Without it the administration API serves only
        /// the loopback.
        TOKENS: PathBuf = "tokens", UNSET;
        /// Whether every change of the table needs a colleague's review. With `optional`,
        /// operators of the role `accept` may change rows directly, or waive a missing
        /// review by name.
        REVIEW: ReviewPolicy = "review", default("optional");
    }
    /// Files that survive a restart.
    ["storage"] EntryAndControl {
        /// Folder that belongs to this process alone. A control replica's identity lies in
        /// it: with an empty folder it is a new replica. An entry without a folder keeps
        /// its idempotency records in memory and on a second entry only.
        DATA: PathBuf = "data", Absent::Error(Roles::Control);
    }
    /// A control replica. An entry's file names all of them, a control replica's file
    /// names the others.
    ["replica" "NAME"] EntryAndControl {
        /// Where it takes messages of other processes.
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
        /// Where its list of live and leaving VMs is read. Without it the sections
        /// `[endpoint NAME]` are all that is known.
        PLATFORM_URL: HttpUrl = "url", Absent::Unset(Roles::Entry);
        /// Where its list of endpoints is read, by the leading control replica.
        PLATFORM_LIST: TargetAddr = "list", Absent::Unset(Roles::Control);
        /// Calls a second that the list bears from all processes together.
        PLATFORM_RATE: f64 = "rate", default("10"), "0.001"..="1000000000";
        /// The failure domains. A list of several pages is read by failure domain, all at
        /// once, since each page names only the next one.
        PLATFORM_DOMAINS: DomainList = "domains", UNSET;
        /// Time after which an endpoint that the list calls draining must get nothing new.
        /// The list is read several times within it.
        PLATFORM_DRAIN: Duration = "drain", default("3s"), "0s"..="1d";
    }
    /// How the processes of a group find each other without being told of all others.
    ["group"] ControlAndGateway {
        /// Addresses of some control VMs. A control replica with seeds also keeps the
        /// group's membership by itself: it takes in replicas that make themselves known,
        /// and lets those go that another one has replaced.
        SEEDS_OF_GROUP: TargetList = "seeds", Absent::Error(Roles::Gateway);
        /// Port on which those VMs take messages of other processes, where it isn't the
        /// seeds' own port.
        SEED_PORT: u32 = "port", UNSET, "1"..="65535";
        /// Whether the whole system starts for the first time. Then the first seed begins
        /// the group; a replica that later finds its disk empty must never do so.
        FIRST_START: bool = "first_start", default("false");
        /// Replicas that may be lost at once. Orders are accepted only once the group has
        /// so many voters that any of them may be lost, or seven voters, its most.
        TOLERATE: u32 = "tolerate", default("1"), "0"..="1000";
    }
    /// Where operators send routes and evacuations.
    ["orders"] Control {
        /// Address of the interface.
        ORDERS_LISTEN: ListenAddr = "listen", UNSET;
    }
    /// Where callers ask which gateways to use.
    ["lookups"] Control {
        /// Address of the interface.
        LOOKUPS_LISTEN: ListenAddr = "listen", UNSET;
        /// How long callers may keep an answer. Some keep it longer, so a gateway that
        /// leaves goes on serving for a multiple of it.
        LOOKUPS_TTL: Duration = "ttl", default("1s"), "100ms"..="1m";
    }
    /// Where the platform asks whether a gateway may be sent callers.
    ["readiness"] Gateway {
        /// Address of the interface.
        READINESS_LISTEN: ListenAddr = "listen", REQUIRED;
    }
    /// Region of a failure domain.
    ["failure_domain" "NAME"] Gateway {
        /// The region.
        DOMAIN_REGION: Region = "region", REQUIRED;
    }
    /// Bounds that all gateways keep together.
    ["budgets"] Gateway {
        /// Further attempts of requests, as a part of first ones.
        RETRY_RATIO: f64 = "retry_ratio", default("0.2"), "0"..="100";
        /// Further attempts that are allowed in each window besides, over all gateways; a
        /// fraction is reached over several windows.
        RETRY_FLOOR: f64 = "retry_floor", default("10"), "0"..="1000000000";
        /// The window.
        RETRY_WINDOW: Duration = "retry_window", default("10s"), "100ms"..="1h";
        /// Part of a region's requests that may change the region where they run, from
        /// one window of two seconds to the next.
        MAX_SHIFT: f64 = "max_shift", default("0.15"), "0"..="1";
    }
    /// The link of a gateway's VM.
    ["link"] Gateway {
        /// Its rate in Mbit/s. Large answers go out in pieces that leave it to short
        /// messages first. Without it, or with 0, they go out as fast as they come.
        LINK_RATE: f64 = "rate", UNSET, "0"..="1000000000";
    }
    /// The planned stop of a gateway.
    ["stop"] Gateway {
        /// Time from the signal until the process must have ended.
        STOP_GRACE: Duration = "grace", default("6s"), "0s"..="1d";
    }
    /// Bounds on what an entry takes on.
    ["limits"] Entry {
        /// Requests that wait for a slot, over all services; further ones are refused.
        QUEUE: usize = "queue", default("64"), "0"..="65536";
        /// How long a planned stop waits for what is running, downloads included. Longer
        /// than `lookup_ttl`, because the last cached answer must lapse first.
        STOP_DEADLINE: Duration = "stop_deadline", default("10m"), "1s"..="12h";
    }
    /// Records that let a request with an idempotency key run at most once.
    ["ledger"] Entry {
        /// Keys kept. When they are this many, requests with new keys are refused.
        LEDGER_KEYS: usize = "keys", default("100000"), "100"..="10000000";
        /// How long a key is kept at least after it could last start. A resend after that
        /// never runs and gets no answer but "may have run".
        LEDGER_RETENTION: Duration = "retention", default("24h"), "1m"..="30d";
    }
    /// Times of the replicated log. The same in each control replica's file.
    ["consensus"] Control {
        /// Time between a leader's heartbeats.
        HEARTBEAT: Duration = "heartbeat", default("200ms"), "10ms"..="10s";
        /// Shortest silence of a leader before an election.
        ELECTION_TIMEOUT: Duration = "election_timeout", default("800ms"), "50ms"..="1m";
        /// How long a majority's answers let a leader answer for the table. Shorter than
        /// `election_timeout`, so that no other leader can be elected within it.
        LEASE: Duration = "lease", default("700ms"), "20ms"..="1m";
    }
    /// What a service promises its callers; the burn report compares samples with it.
    ["objective" "SERVICE"] Control {
        /// An answer that takes longer counts as slow.
        LATENCY_THRESHOLD: Duration = "latency_threshold", default("250ms"), "1ms"..="10m";
        /// Share of answers that are to be no slower.
        LATENCY_TARGET: Percent = "latency_target", default("99%"), "50%"..="99.999%";
        /// Share of slots that are to be free.
        HEADROOM_MIN: Percent = "headroom_min", default("20%"), "0%"..="100%";
        /// Share of samples that are to have such headroom.
        HEADROOM_TARGET: Percent = "headroom_target", default("99%"), "50%"..="99.999%";
        /// A drain that takes longer counts as late.
        DRAIN_DEADLINE: Duration = "drain_deadline", default("10m"), "1s"..="12h";
        /// Share of drains that are to be in time.
        DRAIN_TARGET: Percent = "drain_target", default("95%"), "50%"..="99.999%";
        /// Share of requests that are not to be refused.
        SERVED_TARGET: Percent = "served_target", default("99.9%"), "50%"..="99.999%";
    }
    /// Samples that the burn report is made from.
    ["samples"] Control {
        /// Time that a sample covers.
        SAMPLE_PERIOD: Duration = "period", default("1m"), "1s"..="5m";
        /// Disk space that samples may take; the oldest go first.
        SAMPLE_SIZE: ByteSize = "size", default("64MiB"), "64KiB"..="4GiB";
    }
    /// Log lines.
    ["log"] All {
        /// Least severe level that is written.
        LOG_LEVEL: LevelFilter = "level", default("info");
        /// Text for people, or one JSON object a line.
        LOG_FORMAT: LogFormat = "format", default("plain");
        /// Where lines are written.
        LOG_STREAM: LogStream = "stream", default("stderr");
    }
}
