//! The operator's file of fronts (`deploy/fronts.yaml`): which further protocols the program speaks, and where.
//!
//! ```yaml
//! mid: "<corkreach>"          # the mId in the headers of H.248 text that this program writes
//! text:
//!   listen: 127.0.0.1:2944    # text callers; absent: none are taken
//!   servers:                  # call servers that speak text; the others speak JSON lines
//!     all: false
//!     addresses: [127.0.0.1:2945]
//! ```
//!
//! Without a file every front but the platform's own is off. Unknown keys are an error, so that a misspelt
//! setting is not taken for an absent one. The file is read at the start only.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fronts {
    #[serde(default = "default_mid")]
    pub mid: String,
    #[serde(default)]
    pub text: Text,
}

/// The H.248-style text front.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Text {
    /// Where text callers connect.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    #[serde(default)]
    pub servers: TextServers,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TextServers {
    /// Every call server speaks text.
    #[serde(default)]
    pub all: bool,
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
}

fn default_mid() -> String {
    "<corkreach>".to_owned()
}

impl Default for Fronts {
    fn default() -> Self {
        Fronts { mid: default_mid(), text: Text::default() }
    }
}

impl Fronts {
    /// Reads and checks a file; errors name the file and what is wrong in it.
    pub fn read(path: &Path) -> Result<Fronts, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Fronts::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn parse(text: &str) -> Result<Fronts, String> {
        let fronts: Fronts = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        let mid = &fronts.mid;
        let bracketed =
            (mid.starts_with('<') && mid.ends_with('>')) || (mid.starts_with('[') && mid.contains(']'));
        if mid.len() < 3
            || !bracketed
            || mid.bytes().any(|b| b.is_ascii_whitespace() || b"{},=\";".contains(&b))
        {
            return Err(format!("mid {mid:?}: a domain name in <> or an address in [], without spaces"));
        }
        Ok(fronts)
    }

    /// Whether the call server at `addr` speaks H.248 text.
    pub fn speaks_text(&self, addr: SocketAddr) -> bool {
        self.text.servers.all || self.text.servers.addresses.contains(&addr)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_read_whole_or_refused() {
        let fronts =
            Fronts::parse("text:\n  listen: 127.0.0.1:2944\n  servers:\n    addresses: [127.0.0.1:9]\n")
                .unwrap();
        assert_eq!(fronts.text.listen, Some("127.0.0.1:2944".parse().unwrap()));
        assert!(fronts.speaks_text("127.0.0.1:9".parse().unwrap()));
        assert!(!fronts.speaks_text("127.0.0.1:10".parse().unwrap()));
        assert_eq!(Fronts::parse("{}").unwrap(), Fronts::default());
        assert_eq!(Fronts::parse(include_str!("../deploy/fronts.yaml")).unwrap(), Fronts::default());
        for bad in [
            "text:\n  lissen: 127.0.0.1:1\n",
            "text:\n  listen: nowhere\n",
            "mid: corkreach\n",
            "mid: \"<a b>\"\n",
        ] {
            assert!(Fronts::parse(bad).is_err(), "{bad}");
        }
    }
}
