use super::divide::{Claim, divide};
use super::ledger::{Amount, Ledger};
use super::*;
use crate::terms::{BudgetId, Spending};

fn budget(id: u16, per_s: f64, burst: f64, floor: f64) -> Budget {
    Budget {
        id: BudgetId(id),
        name: format!("b{id}"),
        spending: Spending::SetUps,
        server: None,
        site: None,
        class: None,
        number_prefix: None,
        per_s,
        burst,
        floor,
    }
}

fn claim(member: u16, asked: f64, worth: f64) -> Claim {
    Claim { member: Member(member), asked, worth, given: Amount::default() }
}

const WHOLE: Amount = Amount { per_s: 100_000, burst: 40_000 };

#[test]
fn the_longest_of_each_paged_message_fits_a_datagram() {
    let line = Reported {
        budget: BudgetId(u16::MAX),
        asked: u32::MAX,
        worth: u32::MAX,
        old: Some((u32::MAX, u32::MAX)),
    };
    let (epoch, round, life, stamp) = (Epoch(u64::MAX), u32::MAX, u32::MAX, u64::MAX);
    let lines = vec![line; Message::REPORT_LINES];
    let report = Message::Report { epoch, round, life, stamp, page: 255, pages: 255, lines };
    let line = Granted { budget: BudgetId(u16::MAX), per_s: u32::MAX, burst: u32::MAX };
    let grant = Message::Grant { epoch, seq: u32::MAX, life, stamp, lines: vec![line; Message::GRANT_LINES] };
    for message in [report, grant] {
        let bytes = postcard::to_stdvec(&message).expect("encodes");
        assert!(bytes.len() <= Message::BYTES_MAX, "{}", bytes.len());
        assert_eq!(postcard::from_bytes::<Message>(&bytes).expect("decodes"), message);
    }
}

#[test]
fn whoever_asks_for_little_has_it_and_the_rest_is_level() {
    let claims = [claim(0, 10.0, 1.0), claim(1, 500.0, 1.0), claim(2, 60.0, 1.0), claim(3, 0.0, 0.0)];
    let got: Vec<u64> = divide(WHOLE, 1000, 0, &claims).iter().map(|a| a.per_s).collect();
    assert_eq!(got, [10_000, 45_000, 45_000, 0]);
}

#[test]
fn a_liar_gains_no_more_than_its_weight_allows() {
    let honest: Vec<Claim> = (0..9).map(|m| claim(m, 30.0, 1.0)).collect();
    let mut claims = honest.clone();
    claims.push(claim(9, 4e6, 4e6));
    let got = divide(WHOLE, 1000, 0, &claims);
    // Worth only moves the level within bounds: four times an honest part, as their worth counts half.
    assert!(got[9].per_s <= 4 * got[0].per_s + 4, "{got:?}");
    assert!(got.iter().map(|a| a.per_s).sum::<u64>() <= WHOLE.per_s);
}

#[test]
fn where_the_burst_does_not_reach_for_all_each_has_its_turn() {
    let claims: Vec<Claim> = (0..20).map(|m| claim(m, 5.0, 1.0)).collect();
    let small = Amount { per_s: 2000, burst: 3000 };
    let mut had = [false; 20];
    for round in (0..800).step_by(8) {
        let got = divide(small, 1000, round, &claims);
        assert_eq!(got.iter().filter(|a| a.burst >= 1000 && a.per_s > 0).count(), 3);
        got.iter().enumerate().for_each(|(at, a)| had[at] |= !a.is_none());
    }
    assert!(had.iter().all(|h| *h));
}

#[test]
fn a_part_is_free_once_its_holder_acknowledged_less_or_it_lapsed() {
    let id = BudgetId(0);
    let mut ledger = Ledger::new(3, 0.0);
    ledger.budgets(&[budget(0, 100.0, 40.0, 0.0)]);
    let grant = |ledger: &mut Ledger, now, member, life, seq, wanted| {
        ledger.grant(now, (Member(member), life, seq), id, wanted, now + 1000.0)
    };
    assert_eq!(grant(&mut ledger, 0.0, 0, 7, 1, WHOLE), WHOLE);
    let less = Amount { per_s: 30_000, burst: 10_000 };
    assert_eq!(grant(&mut ledger, 10.0, 0, 7, 2, less), less);
    assert!(ledger.free(10.0, id).is_none(), "the first may still be held");
    ledger.acknowledged(Member(0), 8, 2);
    assert!(ledger.free(10.0, id).is_none(), "another life's word is none");
    ledger.acknowledged(Member(0), 7, 2);
    assert_eq!(ledger.free(10.0, id), WHOLE.less(less));
    // A process that came in its place does not make the first one's part free.
    assert_eq!(grant(&mut ledger, 20.0, 0, 9, 3, WHOLE), WHOLE.less(less));
    assert!(ledger.lapse(1010.0));
    assert_eq!(ledger.free(1010.0, id), less);
}

#[test]
fn nothing_is_free_while_more_of_another_budget_is_out_than_its_whole() {
    let (all, job) = (BudgetId(0), BudgetId(BudgetId::BOOKED));
    let mut ledger = Ledger::new(3, 0.0);
    ledger.budgets(&[budget(0, 100.0, 40.0, 0.0)]);
    ledger.grant(0.0, (Member(0), 7, 1), all, WHOLE, 1000.0);
    ledger.budgets(&[budget(0, 60.0, 24.0, 0.0), budget(job.0, 40.0, 16.0, 0.0)]);
    assert!(ledger.free(10.0, job).is_none(), "it is still in the other's parts");
    let lower = Amount { per_s: 60_000, burst: 24_000 };
    assert_eq!(ledger.grant(10.0, (Member(0), 7, 2), all, lower, 1010.0), lower);
    assert!(ledger.free(20.0, job).is_none());
    ledger.acknowledged(Member(0), 7, 2);
    assert_eq!(ledger.free(30.0, job), Amount { per_s: 40_000, burst: 16_000 });
    // A budget that is gone is out until it lapses.
    ledger.budgets(&[budget(job.0, 40.0, 16.0, 0.0)]);
    assert!(ledger.free(40.0, job).is_none() && ledger.lapse(1010.0));
    assert!(!ledger.free(1010.0, job).is_none());
}

#[test]
fn settings_that_cannot_be_kept_are_named() {
    let good = ShareSettings {
        members: 10,
        keepers: vec![Member(0), Member(1), Member(2)],
        lease_ms: 2000.0,
        round_ms: 500.0,
        drift: 0.01,
        budgets: vec![budget(0, 100.0, 50.0, 0.2)],
    };
    assert_eq!(good.check(), Ok(()));
    let refused = |change: fn(&mut ShareSettings), word: &str| {
        let mut settings = good.clone();
        change(&mut settings);
        let why = settings.check().expect_err(word);
        assert!(why.contains(word), "{why}");
    };
    refused(|s| s.keepers.truncate(2), "keepers");
    refused(|s| s.keepers[1] = Member(10), "no member");
    refused(|s| s.keepers[1] = Member(0), "twice");
    refused(|s| s.lease_ms = 1400.0, "three rounds");
    refused(|s| s.drift = f64::NAN, "drift");
    refused(|s| s.budgets[0].burst = 40.0, "under 1");
    refused(|s| s.budgets[0].id = BudgetId(BudgetId::BOOKED), "booking");
}

#[test]
fn small_changes_of_demand_move_nothing_but_a_whole_lowered_by_as_little_is_followed() {
    let given = Amount { per_s: 50_000, burst: 20_000 };
    let claims = [48.0, 52.0].map(|asked| Claim { given, ..claim(asked as u16, asked, 1.0) });
    assert_eq!(divide(WHOLE, 1000, 0, &claims)[0], given);
    let lower = Amount { per_s: 97_000, burst: 39_000 };
    let sum = divide(lower, 1000, 0, &claims).into_iter().fold(Amount::default(), Amount::plus);
    assert!(sum.per_s <= lower.per_s && sum.burst <= lower.burst, "{sum:?}");
}
