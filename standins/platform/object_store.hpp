#pragma once

#include "object_api/object_name.hpp"
#include "platform/stored_object.hpp"

#include <map>
#include <string>

namespace samphire::standin
{

/// Stores objects and their versions in memory.
class object_store
{
public:
    /// Returns the current version of the object; version zero when the object
    /// is absent.
    stored_object get(object_name const& name) const;

    /// Replaces the object if its version is `expected`; returns whether the
    /// object was replaced.
    bool put_if(
        object_name const& name, object_version expected, payload const& value);

    /// Returns a JSON text with the names of all objects in alphabetical order.
    std::string names_json() const;

private:
    struct entry
    {
        object_version version_{};
        payload value_;
    };

    std::map<object_name, entry> objects_;
};

} // namespace samphire::standin
