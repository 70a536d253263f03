//! Where processes run.

/// A failure domain and its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The region.
    pub region: String,
    /// The failure domain.
    pub failure_domain: String,
}

impl Place {
    /// The place with these names.
    pub fn new(region: &str, failure_domain: &str) -> Self {
        Self {
            region: region.to_owned(),
            failure_domain: failure_domain.to_owned(),
        }
    }
}
