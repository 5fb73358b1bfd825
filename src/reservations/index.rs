//! Booked capacity over time: a treap of the boundaries at which it rises or falls. Each node knows the sum, the
//! highest and the lowest prefix sum of its subtree, so that adding or removing a window, the most booked in one, and
//! the next time at which one fits all take a logarithm of the boundaries. Rates are whole thousandths of a set-up a
//! second: sums come out exactly as they went in.

use super::book::{Minute, Span};

/// Thousandths of a set-up a second.
pub type Milli = i64;

/// A rate as the index keeps it, rounded up.
#[must_use]
pub fn milli(per_s: f64) -> Milli {
    (per_s * 1000.0).ceil() as Milli
}

const NONE: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct Node {
    at: Minute,
    /// What the booked rate changes by there.
    delta: Milli,
    left: u32,
    right: u32,
    sum: Milli,
    high: Milli,
    low: Milli,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Index {
    nodes: Vec<Node>,
    free: Vec<u32>,
    root: u32,
}

impl Default for Index {
    fn default() -> Self {
        Index { nodes: Vec::new(), free: Vec::new(), root: NONE }
    }
}

/// A boundary's rank in the heap: splitmix64 of its minute, so the same boundaries always give the same tree.
fn rank(at: Minute) -> u64 {
    let mut z = u64::from(at).wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

impl Index {
    /// Books so much over a window; less than 0 gives it back.
    pub fn add(&mut self, span: Span, rate: Milli) {
        if span.start < span.end && rate != 0 {
            self.root = self.bump(self.root, span.start, rate);
            self.root = self.bump(self.root, span.end, -rate);
        }
    }

    /// The most booked at any minute of the window.
    #[must_use]
    pub fn most(&self, span: Span) -> Milli {
        let at_start = self.level(span.start);
        let (_, high) = self.between(self.root, span.start, span.end);
        high.map_or(at_start, |high| at_start.max(at_start + high))
    }

    /// The first minute from `from` on at which a window of this length finds no more than `level` booked.
    #[must_use]
    pub fn fits(&self, from: Minute, minutes: u32, level: Milli) -> Option<Minute> {
        let mut at = from;
        if self.level(at) > level {
            at = self.next(self.root, at, 0, level, false)?;
        }
        loop {
            match self.next(self.root, at, 0, level, true) {
                Some(full) if full < at.saturating_add(minutes) => {
                    at = self.next(self.root, full, 0, level, false)?;
                }
                _ => return Some(at),
            }
        }
    }

    /// Boundaries kept.
    #[must_use]
    pub fn boundaries(&self) -> usize {
        self.nodes.len() - self.free.len()
    }

    fn node(&self, n: u32) -> Option<&Node> {
        self.nodes.get(n as usize)
    }

    fn pull(&mut self, n: u32) {
        let Some(&node) = self.node(n) else { return };
        let left = self.node(node.left).map_or((0, None), |l| (l.sum, Some((l.high, l.low))));
        let at = left.0 + node.delta;
        let (mut high, mut low) = left.1.map_or((at, at), |(high, low)| (high.max(at), low.min(at)));
        let mut sum = at;
        if let Some(right) = self.node(node.right) {
            (high, low) = (high.max(at + right.high), low.min(at + right.low));
            sum += right.sum;
        }
        let node = &mut self.nodes[n as usize];
        (node.sum, node.high, node.low) = (sum, high, low);
    }

    fn bump(&mut self, n: u32, at: Minute, delta: Milli) -> u32 {
        let Some(&node) = self.node(n) else {
            let new = Node { at, delta, left: NONE, right: NONE, sum: delta, high: delta, low: delta };
            return match self.free.pop() {
                Some(n) => {
                    self.nodes[n as usize] = new;
                    n
                }
                None => {
                    self.nodes.push(new);
                    (self.nodes.len() - 1) as u32
                }
            };
        };
        let mut top = n;
        if at == node.at {
            self.nodes[n as usize].delta += delta;
            if self.nodes[n as usize].delta == 0 {
                self.free.push(n);
                return self.merge(node.left, node.right);
            }
        } else if at < node.at {
            let left = self.bump(node.left, at, delta);
            self.nodes[n as usize].left = left;
            if let Some(&child) = self.node(left).filter(|l| rank(l.at) > rank(node.at)) {
                self.nodes[n as usize].left = child.right;
                self.nodes[left as usize].right = n;
                top = left;
            }
        } else {
            let right = self.bump(node.right, at, delta);
            self.nodes[n as usize].right = right;
            if let Some(&child) = self.node(right).filter(|r| rank(r.at) > rank(node.at)) {
                self.nodes[n as usize].right = child.left;
                self.nodes[right as usize].left = n;
                top = right;
            }
        }
        self.pull(n);
        if top != n {
            self.pull(top);
        }
        top
    }

    fn merge(&mut self, left: u32, right: u32) -> u32 {
        let (Some(&l), Some(&r)) = (self.node(left), self.node(right)) else {
            return if self.node(left).is_some() { left } else { right };
        };
        if rank(l.at) > rank(r.at) {
            let merged = self.merge(l.right, right);
            self.nodes[left as usize].right = merged;
            self.pull(left);
            left
        } else {
            let merged = self.merge(left, r.left);
            self.nodes[right as usize].left = merged;
            self.pull(right);
            right
        }
    }

    /// What is booked at this minute.
    fn level(&self, at: Minute) -> Milli {
        let (mut n, mut level) = (self.root, 0);
        while let Some(node) = self.node(n) {
            if node.at <= at {
                level += node.delta + self.node(node.left).map_or(0, |l| l.sum);
                n = node.right;
            } else {
                n = node.left;
            }
        }
        level
    }

    /// Sum and highest prefix sum of the boundaries after `from` and before `to`.
    fn between(&self, n: u32, from: Minute, to: Minute) -> (Milli, Option<Milli>) {
        let Some(node) = self.node(n) else { return (0, None) };
        if node.at <= from {
            return self.between(node.right, from, to);
        }
        if node.at >= to {
            return self.between(node.left, from, to);
        }
        // Beneath a node inside, only one side of each child is still bounded.
        let left = self.after(node.left, from);
        let right = self.before(node.right, to);
        join(join(left, (node.delta, Some(node.delta))), right)
    }

    fn after(&self, n: u32, from: Minute) -> (Milli, Option<Milli>) {
        let Some(node) = self.node(n) else { return (0, None) };
        if node.at <= from {
            return self.after(node.right, from);
        }
        let right = self.node(node.right).map_or((0, None), |r| (r.sum, Some(r.high)));
        join(join(self.after(node.left, from), (node.delta, Some(node.delta))), right)
    }

    fn before(&self, n: u32, to: Minute) -> (Milli, Option<Milli>) {
        let Some(node) = self.node(n) else { return (0, None) };
        if node.at >= to {
            return self.before(node.left, to);
        }
        let left = self.node(node.left).map_or((0, None), |l| (l.sum, Some(l.high)));
        join(join(left, (node.delta, Some(node.delta))), self.before(node.right, to))
    }

    /// The first boundary after `at` from which more (or no more) than `level` is booked; `sum` is what the
    /// boundaries before this subtree come to.
    fn next(&self, n: u32, at: Minute, sum: Milli, level: Milli, more: bool) -> Option<Minute> {
        let node = self.node(n)?;
        let none = if more { sum + node.high <= level } else { sum + node.low > level };
        if none {
            return None;
        }
        let here = sum + node.delta + self.node(node.left).map_or(0, |l| l.sum);
        if node.at > at {
            if let Some(found) = self.next(node.left, at, sum, level, more) {
                return Some(found);
            }
            if (here > level) == more {
                return Some(node.at);
            }
        }
        self.next(node.right, at, here, level, more)
    }
}

/// Sum and highest prefix sum of two runs of boundaries, one after the other.
fn join(a: (Milli, Option<Milli>), b: (Milli, Option<Milli>)) -> (Milli, Option<Milli>) {
    let later = b.1.map(|high| a.0 + high);
    (a.0 + b.0, a.1.max(later))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// The plain list that the index is held against.
    fn naive_most(list: &[(Span, Milli)], span: Span) -> Milli {
        let at = |m: Minute| {
            list.iter().filter(|(s, _)| s.start <= m && m < s.end).map(|&(_, rate)| rate).sum::<Milli>()
        };
        (span.start..span.end).map(at).max().unwrap_or(0)
    }

    fn span() -> impl Strategy<Value = Span> {
        (0u32..200, 1u32..40).prop_map(|(start, minutes)| Span { start, end: start + minutes })
    }

    proptest! {
        #[test]
        fn the_index_says_what_the_plain_list_says(
            windows in proptest::collection::vec((span(), 1i64..9, any::<bool>()), 0..60),
            asked in span(),
            level in 0i64..30,
        ) {
            let (mut index, mut list) = (Index::default(), Vec::new());
            for &(window, rate, removes) in &windows {
                if removes && !list.is_empty() {
                    let (old, rate): (Span, Milli) = list.swap_remove(list.len() / 2);
                    index.add(old, -rate);
                } else {
                    index.add(window, rate);
                    list.push((window, rate));
                }
            }
            prop_assert_eq!(index.most(asked), naive_most(&list, asked));
            let minutes = asked.end - asked.start;
            let first = (asked.start..400)
                .find(|&start| naive_most(&list, Span { start, end: start + minutes }) <= level);
            prop_assert_eq!(index.fits(asked.start, minutes, level), first);
            for (old, rate) in list.drain(..) {
                index.add(old, -rate);
            }
            prop_assert_eq!(index.boundaries(), 0);
        }
    }

    #[test]
    fn nothing_fits_a_level_below_nothing() {
        let mut index = Index::default();
        index.add(Span { start: 5, end: 9 }, 3);
        assert_eq!(index.fits(0, 1, -1), None);
        assert_eq!(index.fits(0, 6, 2), Some(9));
        assert_eq!(index.fits(0, 5, 2), Some(0));
    }
}
