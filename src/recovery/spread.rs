//! Where a lost site's load goes: over the tiers of its fallback, within a tier in proportion to the room that each
//! site has left, and never beyond it.

/// What each site takes of a load, set-ups a second, and what no site has room for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spread {
    /// Places of sites, each with what it takes.
    pub takes: Vec<(usize, f64)>,
    /// What is to be refused.
    pub rest: f64,
}

/// Spreads `load` over `tiers` of sites; `room` is what each site has left, set-ups a second (infinite: not known, and
/// then without bound), and is reduced by what it takes.
#[must_use]
pub fn spread(load: f64, tiers: &[Vec<usize>], room: &mut [f64]) -> Spread {
    let mut spread = Spread { takes: Vec::new(), rest: load.max(0.0) };
    for tier in tiers {
        if spread.rest <= 0.0 {
            break;
        }
        let left = |room: &[f64], site: usize| room.get(site).copied().unwrap_or(0.0).max(0.0);
        let open: Vec<usize> = tier.iter().copied().filter(|&site| left(room, site).is_infinite()).collect();
        // Nothing is known of what these could not take: they share it evenly.
        if !open.is_empty() {
            let each = spread.rest / open.len() as f64;
            spread.takes.extend(open.iter().map(|&site| (site, each)));
            spread.rest = 0.0;
            break;
        }
        let whole: f64 = tier.iter().map(|&site| left(room, site)).sum();
        if whole <= 0.0 {
            continue;
        }
        let taken = spread.rest.min(whole);
        for &site in tier {
            let part = taken * left(room, site) / whole;
            if part > 0.0 {
                spread.takes.push((site, part));
            }
        }
        for &(site, part) in &spread.takes {
            if tier.contains(&site) {
                room[site] -= part;
            }
        }
        spread.rest = (spread.rest - taken).max(0.0);
    }
    spread
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tier_is_filled_in_proportion_to_its_room_before_the_next() {
        let mut room = [0.0, 60.0, 30.0, 50.0];
        let got = spread(45.0, &[vec![1, 2], vec![3]], &mut room);
        assert_eq!(got, Spread { takes: vec![(1, 30.0), (2, 15.0)], rest: 0.0 });
        let got = spread(75.0, &[vec![1, 2], vec![3]], &mut room);
        assert_eq!(got, Spread { takes: vec![(1, 30.0), (2, 15.0), (3, 30.0)], rest: 0.0 });
        let got = spread(50.0, &[vec![1, 2], vec![3]], &mut room);
        assert_eq!(got, Spread { takes: vec![(3, 20.0)], rest: 30.0 });
    }

    #[test]
    fn sites_of_unknown_room_share_evenly() {
        let mut room = [0.0, f64::INFINITY, f64::INFINITY, 10.0];
        let got = spread(40.0, &[vec![1, 2, 3]], &mut room);
        assert_eq!(got, Spread { takes: vec![(1, 20.0), (2, 20.0)], rest: 0.0 });
    }

    proptest::proptest! {
        /// All of a load is taken or left over, and no site takes more than its room.
        #[test]
        fn nothing_is_lost_or_overfilled(load in 0.0f64..500.0, room in proptest::collection::vec(0.0f64..100.0, 4)) {
            let mut left = room.clone();
            let got = spread(load, &[vec![1, 2], vec![3]], &mut left);
            let taken: f64 = got.takes.iter().map(|t| t.1).sum();
            proptest::prop_assert!((taken + got.rest - load).abs() < 1e-6);
            for (site, part) in got.takes {
                proptest::prop_assert!(part <= room[site] + 1e-6);
            }
            proptest::prop_assert!(left.iter().all(|&r| r >= -1e-6));
        }
    }
}
