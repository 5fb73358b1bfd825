//! The dry run for operators: what the plan does once given sites are lost, by the usual rates and rooms of the file.
//! No socket is opened, and the same functions decide as under load.

use super::settings::SiteSettings;
use super::spread::spread;
use crate::worth::WorthMix;
use serde::Serialize;

/// Calls over which the mix of a dry run is laid out.
const LAID_OUT: f64 = 10_000.0;

/// A class of calls and its part of them, relative to the parts' sum.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Its name.
    pub class: String,
    /// What a call of it is worth.
    pub worth: f64,
    /// Its part.
    pub part: f64,
}

/// What a site takes of a lost one's load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Taken {
    /// The lost site.
    pub from: String,
    /// The site that takes it.
    pub to: String,
    /// Set-ups a second.
    pub per_s: f64,
}

/// What a class loses.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    /// The class.
    pub class: String,
    /// What a call of it is worth.
    pub worth: f64,
    /// Share of its calls that is refused, 0 to 1.
    pub refused: f64,
}

/// The outcome of a dry run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DryRun {
    /// The lost sites.
    pub lost: Vec<String>,
    /// The load that has to go elsewhere, set-ups a second.
    pub load_per_s: f64,
    /// Where it goes.
    pub takes: Vec<Taken>,
    /// What nobody has room for, set-ups a second.
    pub refused_per_s: f64,
    /// By class, the lowest worth first.
    pub classes: Vec<Loss>,
}

/// What the plan does once these sites are lost.
///
/// # Errors
/// No such site, none left, a usual rate that the file lacks, or classes with no part at all.
pub fn dry_run(settings: &SiteSettings, lost: &[String], mix: &[Mix]) -> Result<DryRun, String> {
    let places: Vec<usize> = lost
        .iter()
        .map(|name| settings.place(name).ok_or_else(|| format!("no site {name}")))
        .collect::<Result<_, _>>()?;
    if (0..settings.sites.len()).all(|site| places.contains(&site)) {
        return Err("every site is lost: the plan steps back, and percent blocking decides alone".into());
    }
    let usual: Vec<f64> = settings
        .sites
        .iter()
        .map(|s| s.usual_per_s.ok_or_else(|| format!("site {}: a dry run wants usual_per_s", s.name)))
        .collect::<Result<_, _>>()?;
    let room = |(i, s): (usize, &super::SiteEntry)| {
        if places.contains(&i) { 0.0 } else { s.spare_per_s.unwrap_or(f64::INFINITY) }
    };
    let mut room: Vec<f64> = settings.sites.iter().enumerate().map(room).collect();
    let name = |site: usize| settings.sites[site].name.clone();
    let mut run = DryRun {
        lost: lost.to_vec(),
        load_per_s: places.iter().map(|&site| usual[site]).sum(),
        takes: Vec::new(),
        refused_per_s: 0.0,
        classes: Vec::new(),
    };
    let mut in_order = places.clone();
    in_order.sort_unstable();
    for site in in_order {
        let spread = spread(usual[site], &settings.tiers(site), &mut room);
        let taken = |&(to, per_s): &(usize, f64)| Taken { from: name(site), to: name(to), per_s };
        run.takes.extend(spread.takes.iter().map(taken));
        run.refused_per_s += spread.rest;
    }
    let parts: f64 = mix.iter().map(|m| m.part).sum();
    if !(parts > 0.0 && parts.is_finite()) {
        return Err("the classes' parts add up to nothing".into());
    }
    let all: f64 = usual.iter().sum();
    let share = if all > 0.0 { run.refused_per_s / all } else { 0.0 };
    let mut laid_out = WorthMix::new(1000.0);
    for m in mix {
        (0..(m.part / parts * LAID_OUT).round() as u32).for_each(|_| laid_out.count(m.worth, 0.0));
    }
    let mut by_worth: Vec<&Mix> = mix.iter().collect();
    by_worth.sort_by(|a, b| a.worth.total_cmp(&b.worth));
    let loss = |m: &&Mix| Loss {
        class: m.class.clone(),
        worth: m.worth,
        refused: laid_out.refused(m.worth, share, 0.0),
    };
    run.classes = by_worth.iter().map(loss).collect();
    Ok(run)
}

impl DryRun {
    /// The outcome as a plain table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!("lost: {} ({:.1} set-ups a second)\n", self.lost.join(", "), self.load_per_s);
        for t in &self.takes {
            text += &format!("  {:<16} -> {:<16} {:>8.1} a second\n", t.from, t.to, t.per_s);
        }
        text +=
            &format!("  {:<36} {:>8.1} a second\n", "refused, the lowest worth first", self.refused_per_s);
        for c in &self.classes {
            text += &format!(
                "  class {:<20} worth {:>5.1}   refused {:>5.1}%\n",
                c.class,
                c.worth,
                100.0 * c.refused
            );
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mix() -> Vec<Mix> {
        let one = |class: &str, worth, part| Mix { class: class.into(), worth, part };
        vec![one("verdict-set", 3.0, 3.0), one("photo-fetch", 1.0, 7.0)]
    }

    #[test]
    fn the_shipped_plan_refuses_the_lowest_worth_for_what_nobody_has_room_for() {
        let settings = SiteSettings::parse(include_str!("../../deploy/sites.yaml")).unwrap();
        let run = dry_run(&settings, &["aarhus".into()], &mix()).unwrap();
        let takes: Vec<(&str, f64)> = run.takes.iter().map(|t| (t.to.as_str(), t.per_s)).collect();
        assert_eq!(takes, vec![("copenhagen", 60.0), ("odense", 30.0)]);
        assert_eq!((run.load_per_s, run.refused_per_s), (120.0, 30.0));
        // 30 of 300 a second, all of them photo-fetch: a tenth of all out of seven tenths.
        assert_eq!(run.classes[0].class, "photo-fetch");
        assert!((run.classes[0].refused - 1.0 / 7.0).abs() < 1e-3);
        assert_eq!(run.classes[1].refused, 0.0);
        insta::assert_snapshot!(run.table(), @r"
        lost: aarhus (120.0 set-ups a second)
          aarhus           -> copenhagen           60.0 a second
          aarhus           -> odense               30.0 a second
          refused, the lowest worth first          30.0 a second
          class photo-fetch          worth   1.0   refused  14.3%
          class verdict-set          worth   3.0   refused   0.0%
        ");
    }

    #[test]
    fn what_can_not_be_worked_out_is_said() {
        let mut settings = SiteSettings::parse(include_str!("../../deploy/sites.yaml")).unwrap();
        let all = ["aarhus", "copenhagen", "odense"].map(String::from);
        assert!(dry_run(&settings, &all, &mix()).unwrap_err().contains("steps back"));
        assert!(dry_run(&settings, &["esbjerg".into()], &mix()).unwrap_err().contains("no site esbjerg"));
        assert!(dry_run(&settings, &["aarhus".into()], &[]).unwrap_err().contains("parts"));
        settings.sites[1].usual_per_s = None;
        assert!(dry_run(&settings, &["aarhus".into()], &mix()).unwrap_err().contains("copenhagen"));
    }
}
