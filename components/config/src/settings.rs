//! Settings files whose kind is detected from their content.

use {
    crate::{deployment::Deployment, error::ConfigError, file, host::HostSettings},
    std::path::Path,
    toml::Table,
};

/// Key that host settings have and deployments do not.
const HOST_KEY: &str = "host";
/// Keys that deployments have and host settings do not.
const DEPLOYMENT_KEYS: [&str; 4] = ["zones", "members", "callers", "collections"];

/// The content of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsFile {
    /// Settings of one host.
    Host(Box<HostSettings>),
    /// A declared deployment.
    Deployment(Box<Deployment>),
}

impl SettingsFile {
    /// Reads and validates the file at `path` after detecting its kind. Fails at the first error.
    pub fn load(path: &Path) -> Result<SettingsFile, ConfigError> {
        let text = file::read(path)?;
        let table: Table = file::parse(path, &text)?;
        if DEPLOYMENT_KEYS.iter().any(|key| table.contains_key(*key)) {
            return Ok(Self::Deployment(Box::new(Deployment::parse(path, &text)?)));
        }
        if table.contains_key(HOST_KEY) {
            return Ok(Self::Host(Box::new(HostSettings::parse(path, &text)?)));
        }
        Err(ConfigError::Invalid {
            file: path.to_owned(),
            key: "top level".to_owned(),
            problem: "neither host settings nor a deployment".to_owned(),
            expected: "the key host, or the tables zones, members, callers and collections"
                .to_owned(),
        })
    }
}
