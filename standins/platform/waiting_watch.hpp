#pragma once

#include "object_api/object_name.hpp"
#include "object_api/object_version.hpp"

namespace samphire::standin
{

/// Read call that waits until the version of the object differs from the
/// version that the client knows.
struct waiting_watch
{
    object_name const name_{};
    object_version const known_version_{};

    friend bool
    operator==(waiting_watch const&, waiting_watch const&) = default;
};

} // namespace samphire::standin
