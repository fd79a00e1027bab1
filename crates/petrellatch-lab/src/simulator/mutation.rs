//! Faults that are built into the system on purpose, so that every checker can
//! be seen to fail.

use std::str::FromStr;

use snafu::Snafu;

macro_rules! mutations {
    ($($(#[doc = $documentation:literal])* $variant:ident = $name:literal,)*) => {
        /// A fault that is built in.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Mutation {
            $($(#[doc = $documentation])* $variant,)*
        }

        impl Mutation {
            /// All of them.
            pub const ALL: &'static [Mutation] = &[$(Mutation::$variant,)*];

            /// Returns the name on the command line.
            pub const fn name(self) -> &'static str {
                match self { $(Mutation::$variant => $name,)* }
            }

            /// Says what is wrong with the system then.
            pub const fn description(self) -> &'static str {
                match self { $(Mutation::$variant => concat!($($documentation),*),)* }
            }
        }
    };
}

mutations! {
    /// Agents admit without a valid lease.
    IgnoreLease = "ignore-lease",
}

/// A name that no mutation has.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("there is no mutation {name:?}"))]
pub struct UnknownMutation {
    name: String,
}

impl FromStr for Mutation {
    type Err = UnknownMutation;

    fn from_str(name: &str) -> Result<Self, UnknownMutation> {
        let mut all = Mutation::ALL.iter().copied();
        let found = all.find(|mutation| mutation.name() == name);
        found.ok_or_else(|| UnknownMutation {
            name: name.to_owned(),
        })
    }
}
