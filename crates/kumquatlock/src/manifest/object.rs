//! Objects that are read by their field names only.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};

/// A value that is written as an object. A derived struct alone also takes a list of its fields in
/// order, in which a mistake would not be noticed.
pub(super) struct ObjectOf<T>(pub(super) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for ObjectOf<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = ObjectOf<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(ObjectOf)
    }
}

/// Reads a list of objects.
pub(super) fn read_objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects = Vec::<ObjectOf<T>>::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|ObjectOf(value)| value).collect())
}
