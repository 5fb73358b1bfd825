//! The protocol of `shares` as two models, searched by stateright. `mastership`: three keepers and their leases; that
//! no two are grantor at once is what `grants` takes for given: three members and a grantor that is followed by
//! another which knows nothing. Messages stay in the network once sent: losing one is never delivering it, doubling and
//! reordering it are delivering it again. Time is whole ticks of one clock; drift is the simulation's matter. Each
//! planted fault is one the search must find.

mod grants;
mod mastership;

use stateright::{Checker, HasDiscoveries, Model};

/// Searches a model to its end, or to so many states; prints how far it went, and tells which property failed.
fn search<M>(name: &str, model: M, states: usize) -> Option<usize>
where
    M: Model + Send + Sync + 'static,
    M::State: std::hash::Hash + Send + Sync + Clone + std::fmt::Debug + PartialEq + 'static,
    M::Action: std::fmt::Debug + Clone + PartialEq + Send + Sync,
{
    let stop = HasDiscoveries::AnyFailures;
    let checker = model.checker().threads(3).finish_when(stop).target_state_count(states).spawn_bfs().join();
    let found = checker.discovery("safe").map(|path| path.into_actions().len());
    let whole = if found.is_none() && checker.state_count() < states { "all" } else { "the first" };
    println!(
        "{name}: {whole} {} states ({} different), {} deep, fault found after {found:?} steps",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
    );
    found
}
