#pragma once

#include "base/payload.hpp"
#include "object_api/object_version.hpp"

namespace samphire::standin
{

/// Version and value of an object; version zero means that the object is
/// absent.
struct stored_object
{
    object_version const version_{};
    payload const value_{};

    friend bool
    operator==(stored_object const&, stored_object const&) = default;
};

} // namespace samphire::standin
