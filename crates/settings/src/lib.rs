//! Parsing and validation of the INI settings files.
//!
//! Every key is declared once, in `keys`: its section, format, default, bounds and
//! meaning. The parser, [`check`] and the settings page in `docs/` all use that one
//! declaration, so they can't diverge.
//!
//! All problems of a file are reported at once, each with its line, because a file is
//! usually edited on a VM that is down until the file loads.

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
mod vm;

pub use control::{
    ControlSettings, GroupSettings, ObjectiveSettings, PlatformListSettings, ReplicaSettings,
    ReviewPolicy, SampleSettings,
};
pub use entry::{EndpointSettings, EntrySettings};
pub use gateway::{BudgetSettings, ContentionControl, GatewaySettings};
pub use load::{check, check_text};
pub use log::{LogFormat, LogSettings, LogStream};
pub use problem::{Problem, SettingsError};
pub use reference::reference;
pub use vm::VmSettings;
