//! The settings and documents of the shipped deployments are valid.

use std::path::PathBuf;

use petrellatch::api::Document;
use petrellatch::settings::SettingsFile;

const DEPLOYMENTS: [&str; 2] = ["assessment-gateway", "silver-protea"];

fn read(deployment: &str, file: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    std::fs::read_to_string(root.join(deployment).join(file)).unwrap()
}

#[test]
fn settings_are_well_formed() {
    for deployment in DEPLOYMENTS {
        let text = read(deployment, "settings.toml");
        let settings: Result<SettingsFile, _> = toml::from_str(&text);
        let settings = settings.unwrap_or_else(|error| panic!("{deployment}: {error}"));
        assert_eq!(settings.cluster.replicas.len(), 3, "{deployment}");
        // The fleet script replaces these for loopback and requires them to be set.
        assert!(settings.platform.list_url.is_some(), "{deployment}");
        assert!(settings.backends.health_path.is_some(), "{deployment}");
    }
}

#[test]
fn documents_are_well_formed() {
    for deployment in DEPLOYMENTS {
        let document = Document::parse("services.toml", &read(deployment, "services.toml"));
        let document = document.unwrap_or_else(|error| panic!("{deployment}: {error}"));
        assert_eq!(document.services.len(), 2, "{deployment}");
    }
}
