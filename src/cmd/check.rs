//! `check`: validates a settings file and prints a summary or the first error.

use {
    crate::outcome::{Failure, Outcome, Status},
    serde_json::json,
    std::path::Path,
    wigeonramp_config::{Deployment, HostSettings, SettingsFile},
    wigeonramp_platform::settings::NodeSettings,
};

/// Validates `file` without contacting a host.
pub fn run(file: &Path) -> Result<Outcome, Failure> {
    if NodeSettings::has_platform_format(file) {
        let settings = NodeSettings::load(file).map_err(|err| Failure::Usage(err.to_string()))?;
        return Ok(platform_summary(file, &settings));
    }
    match SettingsFile::load(file).map_err(|err| Failure::Usage(err.to_string()))? {
        SettingsFile::Host(settings) => Ok(host_summary(file, &settings)),
        SettingsFile::Deployment(deployment) => Ok(deployment_summary(file, &deployment)),
    }
}

fn platform_summary(file: &Path, settings: &NodeSettings) -> Outcome {
    let NodeSettings { host, zone, .. } = settings;
    let text = format!("{}: platform settings of host {host} in zone {zone}", file.display());
    let json = json!({ "file": file, "kind": "platform", "host": host, "zone": zone });
    Outcome::new(Status::Done, text, &json)
}

fn host_summary(file: &Path, settings: &HostSettings) -> Outcome {
    let HostSettings { host, zone, .. } = settings;
    let text = format!("{}: settings of host {host} in zone {zone}", file.display());
    let json = json!({ "file": file, "kind": "host", "host": host, "zone": zone });
    Outcome::new(Status::Done, text, &json)
}

fn deployment_summary(file: &Path, deployment: &Deployment) -> Outcome {
    let document = deployment.expand();
    let (zones, leaves) = (document.zones.len(), document.leaves.len());
    let (collections, callers) = (document.collections.len(), document.callers.len());
    let slots = document.capacity();
    let digest = document.digest();
    let text = format!(
        "{}: deployment with {zones} zones, {collections} collections, {leaves} upstreams with \
         {slots} slots in service, {callers} callers; digest {digest}",
        file.display()
    );
    let json = json!({
        "file": file,
        "kind": "deployment",
        "zones": zones,
        "collections": collections,
        "leaves": leaves,
        "slots": slots,
        "callers": callers,
        "digest": digest,
    });
    Outcome::new(Status::Done, text, &json)
}
