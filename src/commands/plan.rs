//! `corkreach plan`: what the plan for the loss of a site would do.

use argh::FromArgs;
use corkreach::recovery::{self, Mix, SiteSettings};
use std::path::PathBuf;

/// Say what the plan for the loss of a site does once given sites are lost. Nothing is started or asked.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// the operator's file of sites, YAML
    #[argh(option)]
    sites: PathBuf,
    /// a site that is lost; may be given more than once
    #[argh(option)]
    lose: Vec<String>,
    /// a class of calls, its worth and its part of them, as verdict-set:3:0.3; may be given more than once
    #[argh(option)]
    class: Vec<String>,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

impl Plan {
    /// Prints what the plan would do.
    pub fn run(self) -> Result<(), String> {
        let settings = SiteSettings::read(&self.sites)?;
        if self.lose.is_empty() {
            return Err("no site to lose: give --lose".into());
        }
        let run = recovery::dry_run(&settings, &self.lose, &self.mix()?)?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&run).map_err(|e| e.to_string())?);
        } else {
            print!("{}", run.table());
        }
        Ok(())
    }

    /// The classes given; one of all calls if there is none.
    fn mix(&self) -> Result<Vec<Mix>, String> {
        if self.class.is_empty() {
            return Ok(vec![Mix { class: "all".into(), worth: 1.0, part: 1.0 }]);
        }
        self.class.iter().map(|text| class(text)).collect()
    }
}

/// A class as `--class` gives it.
fn class(text: &str) -> Result<Mix, String> {
    let wrong = || format!("--class {text}: NAME:WORTH:PART is wanted, with a part above 0");
    let fields: Vec<&str> = text.split(':').collect();
    let &[class, worth, part] = fields.as_slice() else { return Err(wrong()) };
    let worth = figure(worth).ok_or_else(wrong)?;
    let part = figure(part).filter(|part| *part > 0.0).ok_or_else(wrong)?;
    if class.is_empty() {
        return Err(wrong());
    }
    Ok(Mix { class: class.to_owned(), worth, part })
}

/// A finite number.
fn figure(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
