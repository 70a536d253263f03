//! The control replicas as processes, and the operator's calls that change the table.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use filberthead_operator::{AddReplicaBody, Answer, ChangeBody, Client, EditBody, ReplicaBody};
use filberthead_operator::{ReplicaRole, Status};
use filberthead_table::{Objective, RowValues};
use filberthead_testing::process::Process;
use filberthead_types::{ChangeId, Region, ResultCode, Revision, ServiceName};
use serde::Serialize;

use crate::args::Options;

const PAUSE: Duration = Duration::from_millis(50);
const REGIONS: usize = 9;

/// A group of control replicas.
pub(crate) struct Control {
    pub(crate) replicas: Vec<Process>,
    client: Client,
}

impl Control {
    /// Starts the processes and forms a group of them.
    pub(crate) async fn start(options: &Options, dir: &Path) -> Self {
        let mut replicas: Vec<_> = (0..options.replicas)
            .map(|i| process(options, dir, i))
            .collect();
        replicas.iter_mut().for_each(Process::start);
        let addrs = replicas.iter().map(|process| process.addr("operator"));
        let client = Client::builder(addrs).build();
        let control = Self { replicas, client };
        control.form_group().await;
        control
    }

    async fn form_group(&self) {
        let statuses = self.statuses().await;
        let first = &statuses[0];
        let body = ReplicaBody {
            id: random_id(),
            replica: first.replica,
        };
        let first_client = Client::builder([first.operator_addr]).build();
        post(&first_client, "/v1/control/initialise", &body).await;
        for status in &statuses[1..] {
            let body = AddReplicaBody {
                id: random_id(),
                replica: status.replica,
                name: status.node.clone(),
                peer_addr: status.peer_addr,
                operator_addr: status.operator_addr,
            };
            post(&self.client, "/v1/control/add", &body).await;
            let body = ReplicaBody {
                id: random_id(),
                replica: status.replica,
            };
            post(&self.client, "/v1/control/promote", &body).await;
        }
    }

    /// The status of each replica.
    pub(crate) async fn statuses(&self) -> Vec<Status> {
        let mut statuses = Vec::new();
        for process in &self.replicas {
            let addr = process.addr("operator");
            let reply = self.client.get_from(addr, "/v1/status").await;
            let reply = reply.expect("a running replica returns its status");
            statuses.push(reply.json().expect("a status"));
        }
        statuses
    }

    /// Index of the leader among the replicas; waits until one holds the lease.
    pub(crate) async fn leader(&self) -> usize {
        loop {
            let statuses = self.statuses().await;
            let leads = |status: &Status| status.role == ReplicaRole::Leader && status.holds_lease;
            if let Some(index) = statuses.iter().position(leads) {
                return index;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// The replicas' addresses for messages of other processes.
    pub(crate) fn peer_addrs(&self) -> Vec<SocketAddr> {
        let addr = |process: &Process| process.addr("peer");
        self.replicas.iter().map(addr).collect()
    }

    /// Adds `rows` rows to the table in one change, and returns its version.
    pub(crate) async fn insert_rows(&self, rows: usize) -> u64 {
        let edits = (0..rows).map(|i| edit(i, Revision(0), 10)).collect();
        self.change(edits).await
    }

    /// Sets the weight of row `i`, whose revision is `expected`, and returns the new
    /// version.
    pub(crate) async fn set_weight(&self, i: usize, expected: Revision, weight: u32) -> u64 {
        self.change(vec![edit(i, expected, weight)]).await
    }

    async fn change(&self, edits: Vec<EditBody>) -> u64 {
        let body = ChangeBody {
            id: random_id(),
            note: "measurement".to_owned(),
            edits,
            allow: Default::default(),
            supersedes: None,
        };
        let answer = post(&self.client, "/v1/changes", &body).await;
        assert_eq!(
            answer.code,
            ResultCode::ChangeAccepted,
            "{}",
            answer.message
        );
        answer.version.expect("an accepted change has a version").0
    }
}

async fn post(client: &Client, path: &str, body: &impl Serialize) -> Answer {
    let answer = client.post(path, body).await;
    answer.expect("a running group answers")
}

fn random_id() -> ChangeId {
    ChangeId(rand::random())
}

fn edit(i: usize, expected: Revision, weight: u32) -> EditBody {
    let service = format!("service-{}", i / REGIONS);
    let region = format!("region-{}", i % REGIONS);
    EditBody {
        service: service.parse::<ServiceName>().expect("a valid name"),
        region: region.parse::<Region>().expect("a valid name"),
        revision: expected,
        set: Some(RowValues {
            weight,
            limit: 100,
            shift_cap: 10,
            objective: Objective::Latency,
        }),
        remove: false,
    }
}

fn process(options: &Options, dir: &Path, i: usize) -> Process {
    let name = format!("control-{i}");
    let ini = dir.join(format!("{name}.ini"));
    let data = dir.join(&name);
    let text = format!(
        "[node]\nrole = control\ncluster = fleet\nname = {name}\nregion = region-{i}\n\
         failure_domain = domain-{i}\n[peers]\nlisten = 127.0.0.1:0\n\
         [operators]\nlisten = 127.0.0.1:0\n[storage]\ndata = {}\n[consensus]\n{}\n",
        data.display(),
        options.consensus.join("\n")
    );
    std::fs::write(&ini, text).expect("the scratch folder can be written");
    let program = options.programs.join("filberthead-control");
    let log = dir.join(format!("{name}.log"));
    Process::new(&name, &program, &[&ini], &log)
}
