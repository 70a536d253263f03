//! INI settings, checked.
//!
//! Every key is declared once, in `keys`: its section, form, default, bounds and
//! meaning. The parser, [`check`] and the settings page of the book all read that one
//! declaration, so none of them can drift from the others.
//!
//! A file is judged as a whole: all problems are found in one pass, each with its line,
//! because a file is usually edited on a VM that is down until it loads.

mod control;
mod cross;
mod document;
mod entry;
mod gateway;
mod key;
mod keys;
mod load;
mod log;
mod problem;
mod reference;
mod schema;
mod value;

pub use control::{
    ControlSettings, GroupSettings, ObjectiveSettings, PlatformListSettings, ReplicaSettings,
    ReviewPolicy, SampleSettings,
};
pub use entry::{EndpointSettings, EntrySettings};
pub use gateway::{BudgetSettings, GatewaySettings};
pub use load::{check, check_text};
pub use log::{LogFormat, LogSettings, LogStream};
pub use problem::{Problem, SettingsError};
pub use reference::reference;
