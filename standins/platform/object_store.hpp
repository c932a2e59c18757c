#pragma once

#include "object_api/object_name.hpp"
#include "platform/stored_object.hpp"

#include <map>
#include <string>

namespace samphire::standin
{

/// Objects in memory with their versions.
class object_store
{
public:
    /// The current object; version zero when it is absent.
    stored_object get(object_name const& name) const;

    /// Replaces the object if its version is `expected`; true when it was
    /// replaced.
    bool put_if(
        object_name const& name, object_version expected, payload const& value);

    /// JSON text with the names of all objects in order.
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
