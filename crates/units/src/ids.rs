//! Names, numbers and digests that identify the objects of the system.
//!
//! Names are short and printable, so that they can be used in headers, file names and log lines
//! without escaping. Both [`std::str::FromStr`] and deserialization enforce this.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a {role}: 1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '.' or ':' are allowed"
))]
pub struct NameError {
    /// Kind of name that was expected, such as "instance name".
    role: &'static str,
    /// The rejected text, truncated to the maximum length of a name.
    text: String,
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident, $role:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    let text = text.chars().take(MAX_NAME_BYTES).collect();
                    Err(NameError { role: $role, text })
                }
            }
        }

        impl TryFrom<String> for $type {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().into()
            }
        }
    };
}

name_type!(
    /// Name of a process of the system, unique within the fleet.
    InstanceName,
    "instance name"
);
name_type!(
    /// Name of a data centre.
    DataCentreName,
    "data centre name"
);
name_type!(
    /// Name of a region: a group of data centres between which calls can spill over at low cost.
    RegionName,
    "region name"
);
name_type!(
    /// Name of a catalogue entry, unique within its kind.
    EntryName,
    "entry name"
);
name_type!(
    /// Name under which a target announces itself, unique within the fleet.
    TargetName,
    "target name"
);
name_type!(
    /// Version of a target's software, as the target reports it.
    SoftwareVersion,
    "software version"
);
name_type!(
    /// Name of an operator, as listed in owner entries.
    OperatorName,
    "operator name"
);
name_type!(
    /// Id that an operator gives a change, by which a resend is recognised.
    ChangeId,
    "change id"
);
name_type!(
    /// Id of a caller's request. It is the same for all hops, attempts and resends within the
    /// system.
    RequestId,
    "request id"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl $type {
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $type {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_type!(
    /// Version of the catalogue: 0 before the first accepted change, then incremented by each
    /// change.
    CatalogueVersion
);
number_type!(
    /// Label that operators give a revision of the whole catalogue: 0 before the first revision,
    /// and larger with each further one, by any amount.
    RevisionLabel
);
number_type!(
    /// Term of a leader of the control group, as in Raft.
    LeaderTerm
);
number_type!(
    /// Position of an entry in the replicated log; the first entry has position 1.
    LogPosition
);
number_type!(
    /// Id of a replica of the log, stored in the data folder of a control instance. Chosen at
    /// random when the folder is first used, so that an instance whose folder was emptied counts as
    /// a new replica.
    ReplicaId
);
number_type!(
    /// Id of a control group, chosen at random when the group is formed.
    GroupId
);
number_type!(
    /// Id of a call within a process; not reused until the process restarts.
    CallId
);
number_type!(
    /// Incarnation of a process or a target: increases with each restart.
    IncarnationNumber
);

/// A 32-byte digest, of a catalogue with its history or of other content.
///
/// Text formats represent it in hexadecimal, the binary encoding as its bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct StateDigest(pub [u8; 32]);

impl Serialize for StateDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for StateDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            <[u8; 32]>::deserialize(deserializer).map(Self)
        }
    }
}

impl fmt::Display for StateDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for StateDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a digest is 64 hexadecimal digits"))]
pub struct DigestError;

impl FromStr for StateDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let digits = text.as_bytes();
        if digits.len() != 64 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(DigestError);
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).expect("both digits were checked");
        }
        Ok(Self(digest))
    }
}
