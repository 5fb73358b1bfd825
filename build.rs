//! Tells the program the commit that it is built from, where it is built from a repository.

use std::process::Command;

fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok().filter(|o| o.status.success())?;
    let text = String::from_utf8(output.stdout).ok()?;
    Some(text.trim().to_owned()).filter(|text| !text.is_empty())
}

fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    if let Some(log) = git(&["rev-parse", "--git-path", "logs/HEAD"])
        && std::path::Path::new(&log).exists()
    {
        println!("cargo:rerun-if-changed={log}");
    }
    if let Some(commit) = git(&["rev-parse", "--short=12", "HEAD"]) {
        println!("cargo:rustc-env=CORKREACH_COMMIT={commit}");
    }
}
