//! Ways of dividing an allotment among gateways.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_allot::{
    Admission, AdmitRatio, Contact, Limiter, LimiterConfig, Pool, Presence, Usage,
};
use filberthead_route::{Allotment, Workspace};
use filberthead_types::{Moment, Workspace as WorkspaceName};

/// A way of dividing an allotment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each gateway has the same part for good.
    Even,
    /// Parts follow the demand that gateways report. A part is raised only by what others have
    /// given back; a gateway that is cut off keeps its part.
    Leased,
    /// Gateways count locally and send the part of their requests that the totals allow.
    Totals,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Even, Self::Leased, Self::Totals];

    /// Name in figures.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Leased => "leased",
            Self::Totals => "totals",
        }
    }

    pub(super) fn divider(self, gateways: usize, allotment: Allotment) -> Box<dyn Divider> {
        match self {
            Self::Even => Box::new(Shares::new(gateways, allotment, false)),
            Self::Leased => Box::new(Shares::new(gateways, allotment, true)),
            Self::Totals => Box::new(Totals::new(gateways, allotment)),
        }
    }
}

/// Decides about the requests of one workspace at all gateways.
pub(super) trait Divider {
    /// Whether a request at this gateway is sent.
    fn admit(&mut self, now: Moment, gateway: usize, is_cut_off: bool) -> bool;
    /// A gateway reports to control and receives what control has derived.
    fn report(&mut self, now: Moment, gateway: usize);
    /// Whether a gateway reports before its period has passed, and control derives at once.
    fn is_report_due(&self, _gateway: usize) -> bool {
        false
    }
    /// Control derives what gateways receive next.
    fn derive(&mut self, now: Moment, is_cut_off: &[bool]);
    /// A gateway restarts and has forgotten everything.
    fn restart(&mut self, gateway: usize);
}

/// A part of the rate and what it allows now.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    part: f64,
    tokens: f64,
    updated_at: Moment,
    /// Requests since the last report.
    offered: u32,
    reported_at: Moment,
    demand: f64,
    /// Part that control wants it to have, and the part that it may still be using.
    target: f64,
    granted: f64,
}

/// Each gateway has a part of the rate.
struct Shares {
    allotment: Allotment,
    follow_demand: bool,
    shares: Vec<Share>,
}

impl Shares {
    fn new(gateways: usize, allotment: Allotment, follow_demand: bool) -> Self {
        let part = match follow_demand {
            true => 0.0,
            false => 1.0 / gateways as f64,
        };
        let share = Share {
            part,
            ..Share::default()
        };
        Self {
            allotment,
            follow_demand,
            shares: vec![share; gateways],
        }
    }
}

impl Divider for Shares {
    fn admit(&mut self, now: Moment, gateway: usize, _: bool) -> bool {
        let Allotment { rate, burst } = self.allotment;
        let share = &mut self.shares[gateway];
        share.offered += 1;
        let elapsed = now.saturating_sub(share.updated_at).as_secs_f64();
        share.updated_at = now;
        let limit = (share.part * burst).max(1.0);
        share.tokens = (share.tokens + share.part * rate * elapsed).min(limit);
        let admits = share.tokens >= 1.0;
        share.tokens -= f64::from(u8::from(admits));
        admits
    }

    fn report(&mut self, now: Moment, gateway: usize) {
        if !self.follow_demand {
            return;
        }
        let share = &mut self.shares[gateway];
        let elapsed = now.saturating_sub(share.reported_at).as_secs_f64();
        share.demand = f64::from(std::mem::take(&mut share.offered)) / elapsed.max(0.001);
        share.reported_at = now;
        share.part = share.target;
        // The report says that the part is in force.
        share.granted = share.part;
    }

    fn derive(&mut self, _: Moment, is_cut_off: &[bool]) {
        if !self.follow_demand {
            return;
        }
        let demand: f64 = self.shares.iter().map(|share| share.demand).sum();
        let mut free = 1.0 - self.shares.iter().map(|share| share.granted).sum::<f64>();
        for (share, is_cut_off) in self.shares.iter_mut().zip(is_cut_off) {
            if *is_cut_off {
                continue;
            }
            let fair = if demand > 0.0 {
                share.demand / demand
            } else {
                0.0
            };
            share.target = match fair > share.granted {
                true => share.granted + (fair - share.granted).min(free.max(0.0)),
                false => fair,
            };
            free -= (share.target - share.granted).max(0.0);
            share.granted = share.granted.max(share.target);
        }
    }

    fn restart(&mut self, gateway: usize) {
        let share = &mut self.shares[gateway];
        share.tokens = 0.0;
        if self.follow_demand {
            share.part = 0.0;
        }
    }
}

/// The product's limiters and pool.
struct Totals {
    allotment: Allotment,
    name: WorkspaceName,
    limiters: Vec<Limiter>,
    reported: BTreeMap<usize, Vec<Usage>>,
    pool: Pool,
    ratios: Vec<AdmitRatio>,
}

impl Totals {
    fn new(gateways: usize, allotment: Allotment) -> Self {
        let name: WorkspaceName = "workspace".parse().expect("a valid name");
        let limiters = (0..gateways).map(|seed| limiter(seed as u64, &name, allotment));
        Self {
            allotment,
            limiters: limiters.collect(),
            name,
            reported: BTreeMap::new(),
            pool: Pool::default(),
            ratios: Vec::new(),
        }
    }
}

fn limiter(seed: u64, name: &WorkspaceName, allotment: Allotment) -> Limiter {
    let mut limiter = Limiter::new(LimiterConfig {
        seed,
        unreserved: 0.0,
    });
    limiter.set_workspaces(&[Arc::new(Workspace {
        name: name.clone(),
        keys: Vec::new(),
        regions: Vec::new(),
        priority: None,
        allotment: Some(allotment),
    })]);
    limiter
}

impl Divider for Totals {
    fn admit(&mut self, now: Moment, gateway: usize, is_cut_off: bool) -> bool {
        let contact = match is_cut_off {
            false => Contact::Current,
            true => Contact::Alone {
                gateways: self.limiters.len() as u32,
            },
        };
        self.limiters[gateway].admit(now, &self.name, contact) == Admission::Admitted
    }

    fn report(&mut self, now: Moment, gateway: usize) {
        let control = SocketAddr::from(([10, 0, 0, 1], 7540));
        let limiter = &mut self.limiters[gateway];
        self.reported.insert(gateway, limiter.usage(now));
        limiter.set_ratios(now, control, &self.ratios);
        limiter.confirm_report();
    }

    fn is_report_due(&self, gateway: usize) -> bool {
        self.limiters[gateway].is_report_due()
    }

    fn derive(&mut self, now: Moment, is_cut_off: &[bool]) {
        let usage = self.reported.iter().flat_map(|(gateway, reported)| {
            let presence = match is_cut_off[*gateway] {
                true => Presence::Silent,
                false => Presence::Live,
            };
            reported.iter().map(move |usage| (presence, usage))
        });
        let allotment = self.allotment;
        self.ratios = self.pool.update(now, |_| Some(allotment), usage);
    }

    fn restart(&mut self, gateway: usize) {
        self.limiters[gateway] = limiter(gateway as u64, &self.name, self.allotment);
        self.reported.remove(&gateway);
    }
}
