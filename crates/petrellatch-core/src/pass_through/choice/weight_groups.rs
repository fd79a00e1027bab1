//! Agents of one weight compete with each other; agents of different weights share new
//! flows by their weights.

/// Agents of one weight.
#[derive(Clone, Copy, Debug)]
struct WeightGroup<T> {
    weight: f64,
    agents: usize,
    best: T,
}

/// Groups of agents by weight, in the order in which they were met. Mostly there is one.
#[derive(Debug)]
pub(super) struct WeightGroups<T> {
    groups: Vec<WeightGroup<T>>,
}

impl<T> Default for WeightGroups<T> {
    fn default() -> Self {
        WeightGroups { groups: Vec::new() }
    }
}

impl<T: Default> WeightGroups<T> {
    /// Counts an agent of this weight. Returns what is kept for its group.
    pub(super) fn add(&mut self, weight: f64) -> &mut T {
        let known = self.groups.iter().position(|it| it.weight == weight);
        let place = known.unwrap_or_else(|| {
            self.groups.push(WeightGroup {
                weight,
                agents: 0,
                best: T::default(),
            });
            self.groups.len() - 1
        });
        let group = &mut self.groups[place];
        group.agents += 1;
        &mut group.best
    }

    /// The group that a flow falls to, at a `point` from 0 to 1 of all weights. If it has
    /// nobody who is likely to take the flow, the next one that has, and otherwise the
    /// next one that has anybody. `is_likely` tells that of a group; none if it has nobody.
    ///
    /// Without a positive weight there is no group to fall to.
    pub(super) fn select(&self, point: f64, is_likely: impl Fn(&T) -> Option<bool>) -> Option<&T> {
        let first = self.group_at(point)?;
        let count = self.groups.len();
        let in_turn = || (0..count).map(|step| &self.groups[(first + step) % count]);
        let with_weight = || in_turn().filter(|group| group.weight > 0.0);
        let likely = with_weight().find(|group| is_likely(&group.best) == Some(true));
        let group = likely.or_else(|| with_weight().find(|it| is_likely(&it.best).is_some()));
        group.map(|group| &group.best)
    }

    fn group_at(&self, point: f64) -> Option<usize> {
        let part = |group: &WeightGroup<T>| group.weight * group.agents as f64;
        let total: f64 = self.groups.iter().map(part).sum();
        let mut left = point * total;
        for (place, group) in self.groups.iter().enumerate() {
            left -= part(group);
            if group.weight > 0.0 && left <= 0.0 {
                return Some(place);
            }
        }
        // What sums of floats leave over belongs to the last one.
        self.groups.iter().rposition(|group| group.weight > 0.0)
    }
}
